package org.quetzalscale.core.retry;

import java.util.stream.IntStream;

/**
 * Sliding window of request and retry counts of the last ten seconds, with one bucket per second.
 * Times are milliseconds of one monotonic clock. Not thread-safe.
 */
final class RetryWindow {
    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = 1_000;

    private final double ratio;
    private final int minRetries;
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long lastSecond = Long.MIN_VALUE;

    /**
     * Creates a window without requests.
     *
     * @param ratio retries permitted per request
     * @param minRetries retries permitted in addition, whatever the number of requests
     */
    RetryWindow(double ratio, int minRetries) {
        this.ratio = ratio;
        this.minRetries = minRetries;
    }

    void countRequest(long nowMillis) {
        requests[bucketAt(nowMillis)]++;
    }

    /** Counts a retry if the window permits it. */
    boolean tryRetry(long nowMillis) {
        int bucket = bucketAt(nowMillis);
        double permitted = minRetries + ratio * IntStream.of(requests).sum();
        if (IntStream.of(retries).sum() >= permitted) {
            return false;
        }
        retries[bucket]++;
        return true;
    }

    /** The bucket of the present second, after those of seconds that have passed were cleared. */
    private int bucketAt(long nowMillis) {
        long second = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        long cleared =
                lastSecond == Long.MIN_VALUE ? BUCKETS : Math.min(BUCKETS, second - lastSecond);
        for (int i = 0; i < cleared; i++) {
            int bucket = Math.floorMod(second - i, BUCKETS);
            requests[bucket] = 0;
            retries[bucket] = 0;
        }
        lastSecond = second;
        return Math.floorMod(second, BUCKETS);
    }
}
