package org.quetzalscale.core.limit;

/** One team's units at one instance. Guarded by the lock of its shard. */
final class LocalBlock {
    /** Window over which the peak of running units counts as demand, in milliseconds. */
    private static final long PEAK_WINDOW_MILLIS = 1_000;

    int running;
    int usable;
    int waiting;
    boolean refusedOne;
    int quarantined;
    int limit;
    int usedByOthers;
    boolean seen;
    long lastAskMillis = Long.MIN_VALUE / 2;
    private long unresolvedVersion = -1;
    private int unresolvedUsable;
    private int peak;
    private int formerPeak;
    private long peakSinceMillis;

    boolean tryAcquire(long nowMillis) {
        if (running >= usable) {
            refusedOne = true;
            return false;
        }
        running++;
        notePeak(nowMillis);
        return true;
    }

    /** Units that the instance would use: the recent peak and what waits. */
    int need(long nowMillis) {
        notePeak(nowMillis);
        int queued = Math.max(waiting, refusedOne ? 1 : 0);
        return Math.max(Math.max(peak, formerPeak), running) + queued;
    }

    /**
     * Notes a commit whose answer was lost. It may still take effect as long as the row has the
     * version that the commit required, so until then only units that both outcomes leave count.
     */
    void unresolved(long version, int usableIfCommitted) {
        unresolvedUsable =
                unresolvedVersion == version
                        ? Math.min(unresolvedUsable, usableIfCommitted)
                        : usableIfCommitted;
        unresolvedVersion = version;
    }

    /** The bound that unresolved commits put on the usable units, given the row's version. */
    int unresolvedBound(long rowVersion) {
        if (unresolvedVersion != rowVersion) {
            unresolvedVersion = -1;
            return Integer.MAX_VALUE;
        }
        return unresolvedUsable;
    }

    /** Whether a commit whose answer was lost may still take effect, as of the last read. */
    boolean isUnresolved() {
        return unresolvedVersion >= 0;
    }

    private void notePeak(long nowMillis) {
        if (nowMillis - peakSinceMillis >= PEAK_WINDOW_MILLIS) {
            formerPeak = nowMillis - peakSinceMillis >= 2 * PEAK_WINDOW_MILLIS ? running : peak;
            peak = running;
            peakSinceMillis = nowMillis;
        }
        peak = Math.max(peak, running);
    }
}
