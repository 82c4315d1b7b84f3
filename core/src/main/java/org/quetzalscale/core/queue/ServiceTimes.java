package org.quetzalscale.core.queue;

/** The last 64 service times of one queue. They expire 10 s after the latest sample. */
final class ServiceTimes {
    private static final int SAMPLE_COUNT = 64;
    private static final long SAMPLE_VALID_MILLIS = 10_000;
    private static final double DEFAULT_MEAN_MILLIS = 100;

    private final long[] durations = new long[SAMPLE_COUNT];
    private int count;
    private long lastSampleMillis = Long.MIN_VALUE / 2;

    void record(long durationMillis, long nowMillis) {
        if (!hasRecentSamples(nowMillis)) {
            count = 0;
        }
        durations[count % SAMPLE_COUNT] = durationMillis;
        count++;
        lastSampleMillis = nowMillis;
    }

    /** Whether a sample is recent enough to reject a request based on its estimated wait. */
    boolean hasRecentSamples(long nowMillis) {
        return nowMillis - lastSampleMillis < SAMPLE_VALID_MILLIS;
    }

    double meanMillis() {
        int samples = Math.min(count, SAMPLE_COUNT);
        if (samples == 0) {
            return DEFAULT_MEAN_MILLIS;
        }
        long sum = 0;
        for (int i = 0; i < samples; i++) {
            sum += durations[i];
        }
        return (double) sum / samples;
    }

    /** The shortest recent service time: a request with less time left can't meet its deadline. */
    long shortestMillis() {
        long shortest = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(count, SAMPLE_COUNT); i++) {
            shortest = Math.min(shortest, durations[i]);
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }
}
