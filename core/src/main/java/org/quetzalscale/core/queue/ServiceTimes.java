package org.quetzalscale.core.queue;

/** Recent service times of one queue. Without a sample in the last ten seconds it knows nothing. */
final class ServiceTimes {
    private static final int SAMPLES = 64;
    private static final long SAMPLE_VALID_MILLIS = 10_000;
    private static final double DEFAULT_MEAN_MILLIS = 100;

    private final long[] durations = new long[SAMPLES];
    private int count;
    private long lastMillis = Long.MIN_VALUE / 2;

    void record(long durationMillis, long nowMillis) {
        if (!isKnown(nowMillis)) {
            count = 0;
        }
        durations[count % SAMPLES] = durationMillis;
        count++;
        lastMillis = nowMillis;
    }

    /** Whether there are recent samples; a refusal by estimate requires them. */
    boolean isKnown(long nowMillis) {
        return nowMillis - lastMillis < SAMPLE_VALID_MILLIS;
    }

    double meanMillis() {
        int samples = Math.min(count, SAMPLES);
        if (samples == 0) {
            return DEFAULT_MEAN_MILLIS;
        }
        long sum = 0;
        for (int i = 0; i < samples; i++) {
            sum += durations[i];
        }
        return (double) sum / samples;
    }

    /** The shortest recent service time: a request with less time left can't end in time. */
    long shortestMillis() {
        long shortest = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(count, SAMPLES); i++) {
            shortest = Math.min(shortest, durations[i]);
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }
}
