package org.quetzalscale.core.lease;

/**
 * Measures for how long a row has been observed unchanged. While the table cannot be read, or this
 * process is paused, the holder of a lease may be unable to renew it as well, so that time does not
 * count. Times are milliseconds of one monotonic clock. Not thread-safe.
 */
final class RowObservation {
    private static final long NOT_OBSERVED = -1;

    private final long maxGapMillis;
    private long version = NOT_OBSERVED;
    private long sinceMillis;
    private long atMillis;

    /**
     * Creates an observation that has not begun.
     *
     * @param maxGapMillis longest time between two reads after which the observation goes on
     */
    RowObservation(long maxGapMillis) {
        this.maxGapMillis = maxGapMillis;
    }

    /** Records that the row was read, and returns for how long it has been unchanged. */
    long unchangedMillis(long readVersion, long nowMillis) {
        if (readVersion != version || nowMillis - atMillis > maxGapMillis) {
            version = readVersion;
            sinceMillis = nowMillis;
        }
        atMillis = nowMillis;
        return nowMillis - sinceMillis;
    }

    /** Begins anew with the next read. */
    void interrupt() {
        version = NOT_OBSERVED;
    }
}
