package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Calls the workers of a new owner a few at a time. With hundreds of workers at once, the new
 * connections and the reports would delay the renewals of the owner's lease until it expires.
 */
final class PacedCalls {
    private static final int MAX_IN_PROGRESS = 8;

    /** A worker that does not respond delays the next call for this long at most. */
    private static final long MAX_WAIT_MILLIS = 100;

    private final LoopClock clock;
    private final Queue<WorkerSession> waiting = new ArrayDeque<>();
    private int inProgress;

    PacedCalls(LoopClock clock) {
        this.clock = clock;
    }

    /** Calls a worker, once fewer than the permitted number of other calls are in progress. */
    void call(WorkerSession session) {
        waiting.add(session);
        callNext();
    }

    /** Whether every call has ended, or was waited for as long as it may be. */
    boolean isIdle() {
        return inProgress == 0;
    }

    private void callNext() {
        while (inProgress < MAX_IN_PROGRESS && !waiting.isEmpty()) {
            inProgress++;
            AtomicBoolean ended = new AtomicBoolean();
            Runnable end = () -> endOnce(ended);
            clock.after(MAX_WAIT_MILLIS, end);
            waiting.poll().call(end);
        }
    }

    private void endOnce(AtomicBoolean ended) {
        if (ended.compareAndSet(false, true)) {
            inProgress--;
            callNext();
        }
    }
}
