package org.quetzalscale.core.route;

import org.quetzalscale.core.queue.AttemptOutcome;

/** Load and health of one worker as seen by this instance. Guarded by the lock of its shard. */
final class WorkerLoad {
    /** Number of failures without a successful response in between that eject a worker. */
    static final int FAILURES_BEFORE_EJECTION = 5;

    /**
     * Duration of a worker's first ejection, in milliseconds. Each further ejection is longer by
     * the same time, up to six times the first duration.
     */
    static final long EJECTION_MILLIS = 5_000;

    /** Time for which a worker counts as full after it refused a request, in milliseconds. */
    static final long FULL_AFTER_REFUSAL_MILLIS = 100;

    private static final int MAX_EJECTION_FACTOR = 6;

    int ownInFlight;
    int siblingInFlight;
    private long shutdownUntilMillis = Long.MIN_VALUE;
    private long fullUntilMillis = Long.MIN_VALUE;
    private int consecutiveFailures;
    private int ejectionFactor;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private boolean probing;

    int totalInFlight() {
        return ownInFlight + siblingInFlight;
    }

    boolean hasFreeSlot(int slots, long nowMillis) {
        return totalInFlight() < slots && nowMillis >= fullUntilMillis;
    }

    boolean isShuttingDown(long nowMillis) {
        return nowMillis < shutdownUntilMillis;
    }

    void markShuttingDown(long untilMillis) {
        shutdownUntilMillis = untilMillis;
    }

    /** Whether the worker is ejected, or is probed by a single request after an ejection. */
    boolean isEjected(long nowMillis) {
        return ejectionFactor > 0 && (nowMillis < ejectedUntilMillis || probing);
    }

    long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    void start() {
        ownInFlight++;
        probing = ejectionFactor > 0;
    }

    void finish(AttemptOutcome outcome, long nowMillis) {
        ownInFlight--;
        probing = false;
        switch (outcome) {
            case ANSWERED -> {
                consecutiveFailures = 0;
                ejectionFactor = 0;
                fullUntilMillis = Long.MIN_VALUE;
            }
            case FAILED, BROKEN, UNREACHABLE -> countFailure(nowMillis);
            case REFUSED -> fullUntilMillis = nowMillis + FULL_AFTER_REFUSAL_MILLIS;
            case ABANDONED, NOT_SENT -> {
                // These outcomes say nothing about the worker.
            }
            default -> throw new IllegalStateException("unexpected outcome " + outcome);
        }
    }

    private void countFailure(long nowMillis) {
        consecutiveFailures++;
        boolean probeFailed = ejectionFactor > 0 && nowMillis >= ejectedUntilMillis;
        if (probeFailed || ejectionFactor == 0 && consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
            ejectionFactor = Math.min(ejectionFactor + 1, MAX_EJECTION_FACTOR);
            ejectedUntilMillis = nowMillis + ejectionFactor * EJECTION_MILLIS;
        }
    }
}
