package org.quetzalscale.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.time.TimeSource;

/** Operations in memory: the embedded default of a single daemon, and the stand-in in tests. */
public final class InMemoryWorkerControl implements WorkerControl {
    private final TimeSource time;
    private final long operationMillis;
    private final Predicate<String> fails;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Long> startedMillis = new HashMap<>();

    /**
     * A control whose operations all take the same time.
     *
     * @param operationMillis time from the start of an operation to its end
     * @param fails tells by its identifier whether an operation fails
     */
    public InMemoryWorkerControl(TimeSource time, long operationMillis, Predicate<String> fails) {
        this.time = time;
        this.operationMillis = operationMillis;
        this.fails = fails;
    }

    @Override
    public CompletionStage<ControlState> run(String operation, WorkerId worker, WaveAction action) {
        return CompletableFuture.completedFuture(state(operation));
    }

    /** Operations that were started, each counted once. */
    public int operations() {
        lock.lock();
        try {
            return startedMillis.size();
        } finally {
            lock.unlock();
        }
    }

    private ControlState state(String operation) {
        lock.lock();
        try {
            long nowMillis = time.nowMillis();
            long since = startedMillis.computeIfAbsent(operation, id -> nowMillis);
            if (nowMillis - since < operationMillis) {
                return ControlState.RUNNING;
            }
            return fails.test(operation) ? ControlState.FAILED : ControlState.DONE;
        } finally {
            lock.unlock();
        }
    }
}
