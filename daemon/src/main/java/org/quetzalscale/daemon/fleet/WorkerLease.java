package org.quetzalscale.daemon.fleet;

import org.quetzalscale.core.lease.TermValidity;

/**
 * Lease of the runs on a worker, as their owner knows it. The runs end if the lease is not extended
 * in time. Times are milliseconds of the owner's monotonic clock.
 */
final class WorkerLease {
    /** How long runs continue without a renewal, on the worker's clock. */
    private static final long DURATION_MILLIS = 5_000;

    /** Longest duration on the owner's clock: the clocks of workers may be 2% slow. */
    private static final long BOUND_MILLIS = DURATION_MILLIS * 102 / 100 + 100;

    private long clockOffsetMillis;
    private boolean clockKnown;
    private long untilMillis;

    /**
     * Creates a lease.
     *
     * @param formerUntilMillis until when runs of an earlier owner may continue without a renewal
     *     by this one
     */
    WorkerLease(long formerUntilMillis) {
        this.untilMillis = formerUntilMillis;
    }

    /**
     * How long runs of an earlier owner may continue after its lease was taken: that owner extends
     * the leases of workers while its term is valid.
     */
    static long formerBoundMillis() {
        return BOUND_MILLIS + TermValidity.DURATION_MILLIS;
    }

    /** Whether the worker's clock is known, which the end of an extension is expressed in. */
    boolean isClockKnown() {
        return clockKnown;
    }

    void setClock(long workerClockMillis, long nowMillis) {
        clockOffsetMillis = workerClockMillis - nowMillis;
        clockKnown = true;
    }

    /** Extends the lease, and returns its end on the worker's clock for the call that tells it. */
    long extend(long nowMillis) {
        untilMillis = Math.max(untilMillis, nowMillis + BOUND_MILLIS);
        return nowMillis + clockOffsetMillis + DURATION_MILLIS;
    }

    /** Whether the worker has ended all runs unless it was called by another owner. */
    boolean isOver(long nowMillis) {
        return nowMillis >= untilMillis;
    }
}
