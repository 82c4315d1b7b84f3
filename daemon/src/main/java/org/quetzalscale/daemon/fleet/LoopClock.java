package org.quetzalscale.daemon.fleet;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/**
 * The event loop that runs all services of the fleet, with its clocks.
 *
 * @param time the monotonic clock
 * @param epochMillis the wall clock, which may jump
 * @param onError receives errors that are no exceptions, such as a lack of memory, after which the
 *     services of the loop may be in any state
 */
public record LoopClock(
        ScheduledExecutorService loop,
        TimeSource time,
        LongSupplier epochMillis,
        Consumer<Error> onError) {
    /** Creates a clock that logs errors and goes on. */
    public LoopClock(ScheduledExecutorService loop, TimeSource time, LongSupplier epochMillis) {
        this(loop, time, epochMillis, error -> {});
    }

    /** Current time of the monotonic clock. */
    public long nowMillis() {
        return time.nowMillis();
    }

    /** Runs the action on the loop after a delay. */
    public void after(long millis, Runnable action) {
        loop.schedule(() -> runLogged(action), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action that has to go on, such as one that reads the next part of a feed. What it
     * throws is logged, which a stage would silently discard, and after an exception it is retried.
     */
    void runOrRetry(Runnable action, long retryMillis, Runnable retry) {
        try {
            runLogged(action);
        } catch (RuntimeException e) {
            after(retryMillis, retry);
        }
    }

    /** Reports the error that a stage failed with, unless it is an exception. */
    void reportError(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof Error error) {
            onError.accept(error);
        }
    }

    /** Runs the action and logs what it throws, which the loop would silently discard. */
    private void runLogged(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            Logger.error(e, "event=task_failed");
            throw e;
        } catch (Error e) {
            onError.accept(e);
            Logger.error(e, "event=task_failed");
            throw e;
        }
    }
}
