package org.quetzalscale.core.route;

import org.quetzalscale.core.queue.AttemptOutcome;

/** What this instance knows of one worker. Guarded by the lock of its shard. */
final class WorkerLoad {
    /** Failures in a row, without an answer between them, that eject a worker. */
    static final int EJECT_AFTER_FAILURES = 5;

    /** Length of a worker's first ejection in milliseconds; each further one is longer by it. */
    static final long EJECTION_MILLIS = 5_000;

    /** Time for which a worker that refused counts as full, in milliseconds. */
    static final long REFUSED_MILLIS = 100;

    private static final int MAX_EJECTION_FACTOR = 6;

    int own;
    int siblings;
    private long shutdownUntilMillis = Long.MIN_VALUE;
    private long fullUntilMillis = Long.MIN_VALUE;
    private int failuresInRow;
    private int ejections;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private boolean probing;

    int total() {
        return own + siblings;
    }

    boolean hasFreeSlot(int slots, long nowMillis) {
        return total() < slots && nowMillis >= fullUntilMillis;
    }

    boolean isShuttingDown(long nowMillis) {
        return nowMillis < shutdownUntilMillis;
    }

    void announceShutdown(long untilMillis) {
        shutdownUntilMillis = untilMillis;
    }

    /** Whether the worker is ejected, or is being probed by one request after its ejection. */
    boolean isEjected(long nowMillis) {
        return ejections > 0 && (nowMillis < ejectedUntilMillis || probing);
    }

    long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    void start() {
        own++;
        probing = ejections > 0;
    }

    void finish(AttemptOutcome outcome, long nowMillis) {
        own--;
        probing = false;
        switch (outcome) {
            case ANSWERED -> {
                failuresInRow = 0;
                ejections = 0;
                fullUntilMillis = Long.MIN_VALUE;
            }
            case FAILED, BROKEN, UNREACHABLE -> fail(nowMillis);
            case REFUSED -> fullUntilMillis = nowMillis + REFUSED_MILLIS;
            case ABANDONED, NOT_SENT -> {
                // The caller's departure says nothing about the worker.
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
    }

    private void fail(long nowMillis) {
        failuresInRow++;
        boolean probeFailed = ejections > 0 && nowMillis >= ejectedUntilMillis;
        if (probeFailed || ejections == 0 && failuresInRow >= EJECT_AFTER_FAILURES) {
            ejections = Math.min(ejections + 1, MAX_EJECTION_FACTOR);
            ejectedUntilMillis = nowMillis + ejections * EJECTION_MILLIS;
        }
    }
}
