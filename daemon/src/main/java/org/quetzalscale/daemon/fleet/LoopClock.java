package org.quetzalscale.daemon.fleet;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/**
 * The event loop that runs all services of the fleet, with its clocks.
 *
 * @param time the monotonic clock
 * @param epochMillis the wall clock, which may jump
 */
public record LoopClock(ScheduledExecutorService loop, TimeSource time, LongSupplier epochMillis) {
    /** Current time of the monotonic clock. */
    public long nowMillis() {
        return time.nowMillis();
    }

    /** Runs the action on the loop after a delay. */
    public void after(long millis, Runnable action) {
        loop.schedule(() -> runLogged(action), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs the action and logs its exceptions, which the loop would silently discard. */
    private static void runLogged(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            Logger.error(e, "event=task_failed");
            throw e;
        }
    }
}
