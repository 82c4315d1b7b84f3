package org.quetzalscale.standin.experiment;

import org.HdrHistogram.Histogram;

/** Counts of one run of the slot model. */
final class SlotTally {
    private static final long MAX_WAIT_MICROS = 60_000_000;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    private final Histogram waits = new Histogram(MAX_WAIT_MICROS, DIGITS);
    private long arrived;
    private long onTime;
    private long refusals;
    private long lost;
    private long expired;

    void arrived() {
        arrived++;
    }

    void started(ModelRequest request, long nowMicros) {
        waits.recordValue(Math.min(MAX_WAIT_MICROS, nowMicros - request.arrivedMicros));
    }

    void ended(ModelRequest request, long nowMicros) {
        onTime += nowMicros <= request.deadlineMicros ? 1 : 0;
    }

    void refused() {
        refusals++;
    }

    void lost(long count) {
        lost += count;
    }

    void expired() {
        expired++;
    }

    /** The table's columns after the scheme's name. */
    String row() {
        return String.format(
                "%9.1f %9.1f %8.2f%% %9.3f %8d %6d",
                waits.getValueAtPercentile(50) / MICROS_PER_MILLI,
                waits.getValueAtPercentile(99) / MICROS_PER_MILLI,
                100.0 * onTime / arrived,
                (double) refusals / arrived,
                expired,
                lost);
    }
}
