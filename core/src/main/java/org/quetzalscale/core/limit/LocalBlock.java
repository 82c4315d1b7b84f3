package org.quetzalscale.core.limit;

/** The state of one team's block on one instance. Guarded by the lock of its shard. */
final class LocalBlock {
    /** Length of the window whose peak of running units counts as demand, in milliseconds. */
    private static final long PEAK_WINDOW_MILLIS = 1_000;

    int running;
    int usable;
    int waiting;
    boolean refusedSinceLastTick;
    int quarantined;
    int limit;
    int usedByOthers;
    boolean hasRow;
    long lastTickRequestMillis = Long.MIN_VALUE / 2;
    private long unresolvedRowVersion = -1;
    private int unresolvedUsable;
    private int peak;
    private int previousPeak;
    private long peakWindowStartMillis;

    boolean tryAcquire(long nowMillis) {
        if (running >= usable) {
            refusedSinceLastTick = true;
            return false;
        }
        running++;
        updatePeak(nowMillis);
        return true;
    }

    /** Demand in units: the recent peak of running requests plus the waiting requests. */
    int demand(long nowMillis) {
        updatePeak(nowMillis);
        int queued = Math.max(waiting, refusedSinceLastTick ? 1 : 0);
        return Math.max(Math.max(peak, previousPeak), running) + queued;
    }

    /**
     * Records a commit whose result is unknown. It may still take effect while the row has the
     * version that the commit requires. Until the version changes, only units that both outcomes
     * leave to this instance are usable.
     */
    void recordUnresolvedCommit(long version, int usableIfCommitted) {
        unresolvedUsable =
                unresolvedRowVersion == version
                        ? Math.min(unresolvedUsable, usableIfCommitted)
                        : usableIfCommitted;
        unresolvedRowVersion = version;
    }

    /** Upper bound that commits with an unknown result put on the usable units at a row version. */
    int unresolvedBound(long rowVersion) {
        if (unresolvedRowVersion != rowVersion) {
            unresolvedRowVersion = -1;
            return Integer.MAX_VALUE;
        }
        return unresolvedUsable;
    }

    /** Whether a commit with an unknown result may still take effect, as of the last read. */
    boolean isUnresolved() {
        return unresolvedRowVersion >= 0;
    }

    private void updatePeak(long nowMillis) {
        if (nowMillis - peakWindowStartMillis >= PEAK_WINDOW_MILLIS) {
            previousPeak =
                    nowMillis - peakWindowStartMillis >= 2 * PEAK_WINDOW_MILLIS ? running : peak;
            peak = running;
            peakWindowStartMillis = nowMillis;
        }
        peak = Math.max(peak, running);
    }
}
