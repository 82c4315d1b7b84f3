package org.quetzalscale.standin.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and latencies of one group of requests. Safe for use by several threads. */
final class LoadRecorder {
    private static final long MAX_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<LoadOutcome, Long> outcomes = new EnumMap<>(LoadOutcome.class);
    private final Map<String, Long> errorCodes = new TreeMap<>();
    private final Histogram latency = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long onTime;

    /**
     * Records a request.
     *
     * @param code error code of its answer, or empty
     * @param latencyMicros time from its arrival to its end, in microseconds
     */
    synchronized void record(
            LoadOutcome outcome, String code, long latencyMicros, long deadlineMillis) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (!code.isEmpty()) {
            errorCodes.merge(code, 1L, Long::sum);
        }
        if (outcome != LoadOutcome.OK) {
            return;
        }
        latency.recordValue(Math.min(MAX_MICROS, Math.max(0, latencyMicros)));
        if (latencyMicros <= deadlineMillis * 1000) {
            onTime++;
        }
    }

    /** The figures so far, for a run in which requests arrived for the given time in ms. */
    synchronized LoadReport.Group report(String name, long durationMillis) {
        long requests = outcomes.values().stream().mapToLong(Long::longValue).sum();
        return new LoadReport.Group(
                name,
                requests,
                new EnumMap<>(outcomes),
                new TreeMap<>(errorCodes),
                onTime,
                requests == 0 ? 0 : (double) onTime / requests,
                onTime * 1000.0 / durationMillis,
                millisAt(50),
                millisAt(99),
                millisAt(99.9),
                latency.getMaxValue() / 1000.0);
    }

    private double millisAt(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1000.0;
    }
}
