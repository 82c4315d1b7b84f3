package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.quetzalscale.core.retry.Intent;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.retry.IntentResult;

/** Manages the intent of one request with an idempotency key, on the request's event loop. */
final class IntentHandle {
    private static final int WITHDRAW_MILLIS = 1_000;

    private final IntentLog intents;
    private final EventLoop loop;
    private Intent intent;

    IntentHandle(IntentLog intents, EventLoop loop) {
        this.intents = intents;
        this.loop = loop;
    }

    /** Inserts or finds the intent, then passes the result or the failure to the callback. */
    void begin(
            CallerRequest request,
            String fingerprint,
            long waitMillis,
            BiConsumer<IntentResult, Throwable> found) {
        intents.begin(
                        request.team().orElseThrow(),
                        request.idempotencyKey().orElseThrow(),
                        fingerprint,
                        waitMillis)
                .whenComplete(
                        (result, failure) ->
                                loop.execute(
                                        () -> {
                                            if (result instanceof IntentResult.Proceed proceed) {
                                                intent = proceed.intent();
                                            }
                                            found.accept(result, failure);
                                        }));
    }

    /** Whether this request holds the intent and may run. */
    boolean isHeld() {
        return intent != null;
    }

    /**
     * Withdraws the intent if it is held, then calls back. The caller is answered afterwards,
     * because after "not run" it may retry at once. A failure is ignored, because "not run" stays
     * correct.
     */
    void withdraw(Runnable then) {
        if (intent == null) {
            then.run();
            return;
        }
        intents.withdraw(intent)
                .thenApply(done -> done)
                .toCompletableFuture()
                .orTimeout(WITHDRAW_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((done, failure) -> loop.execute(then));
    }

    /** A recorder for the outcome; the intent must be held. */
    OutcomeRecorder recorder(ByteBufAllocator allocator, BufferBudget budget) {
        return new OutcomeRecorder(intents, intent, loop, allocator, budget);
    }
}
