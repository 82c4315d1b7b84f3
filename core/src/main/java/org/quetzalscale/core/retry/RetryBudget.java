package org.quetzalscale.core.retry;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Limits the retries of each pool to a fraction of its requests in the last ten seconds plus a
 * small minimum, so that retries do not multiply the load of a failing pool. Thread-safe.
 */
public final class RetryBudget {
    /** Number of retries permitted per request in the window. */
    public static final double RETRY_RATIO = 0.2;

    /** Number of retries permitted in the window in addition, whatever the number of requests. */
    public static final int MIN_RETRIES = 10;

    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = 1_000;

    private final TimeSource time;
    private final Map<PoolId, Window> windows = new HashMap<>();

    /** Creates a budget without recent requests. */
    public RetryBudget(TimeSource time) {
        this.time = time;
    }

    /** Counts a request at its first attempt. */
    public synchronized void countRequest(PoolId pool) {
        currentWindow(pool).requests[bucket()]++;
    }

    /** Counts a retry if the pool's budget permits it; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry(PoolId pool) {
        Window window = currentWindow(pool);
        if (sum(window.retries) >= MIN_RETRIES + RETRY_RATIO * sum(window.requests)) {
            return false;
        }
        window.retries[bucket()]++;
        return true;
    }

    private Window currentWindow(PoolId pool) {
        Window window = windows.computeIfAbsent(pool, id -> new Window());
        window.advanceTo(time.nowMillis() / BUCKET_MILLIS);
        return window;
    }

    private int bucket() {
        return Math.floorMod(time.nowMillis() / BUCKET_MILLIS, BUCKETS);
    }

    private static int sum(int[] counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }

    /** Sliding window of request and retry counts, with one bucket per second. */
    private static final class Window {
        private final int[] requests = new int[BUCKETS];
        private final int[] retries = new int[BUCKETS];
        private long lastSecond = Long.MIN_VALUE;

        void advanceTo(long nowSecond) {
            long cleared =
                    lastSecond == Long.MIN_VALUE
                            ? BUCKETS
                            : Math.min(BUCKETS, nowSecond - lastSecond);
            for (int i = 0; i < cleared; i++) {
                int bucket = Math.floorMod(nowSecond - i, BUCKETS);
                requests[bucket] = 0;
                retries[bucket] = 0;
            }
            lastSecond = nowSecond;
        }
    }
}
