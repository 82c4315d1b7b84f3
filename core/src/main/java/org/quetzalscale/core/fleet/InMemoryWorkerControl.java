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

/**
 * Simulates operations in memory: the default of a single daemon without a platform, and a test
 * double.
 */
public final class InMemoryWorkerControl implements WorkerControl {
    private final TimeSource time;
    private final long operationMillis;
    private final Predicate<String> fails;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Long> startedMillis = new HashMap<>();

    /**
     * Creates a control whose operations all take the same time.
     *
     * @param operationMillis time from the start of an operation to its end
     * @param fails tells whether the operation with this identifier fails
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

    /** The number of operations started, each counted once however often it was requested. */
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
            long startMillis = startedMillis.computeIfAbsent(operation, id -> nowMillis);
            if (nowMillis - startMillis < operationMillis) {
                return ControlState.RUNNING;
            }
            return fails.test(operation) ? ControlState.FAILED : ControlState.DONE;
        } finally {
            lock.unlock();
        }
    }
}
