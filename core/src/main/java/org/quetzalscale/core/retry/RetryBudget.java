package org.quetzalscale.core.retry;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Bounds the retries of each pool to a share of its recent requests plus a small minimum, so that
 * retries do not multiply the load of a pool that fails. Safe for several threads.
 */
public final class RetryBudget {
    /** Retries permitted for each recent request. */
    public static final double SHARE = 0.2;

    /** Retries permitted in a window without regard to requests. */
    public static final int MIN_RETRIES = 10;

    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = 1_000;

    private final TimeSource time;
    private final Map<PoolId, Window> windows = new HashMap<>();

    /** A budget without recent requests. */
    public RetryBudget(TimeSource time) {
        this.time = time;
    }

    /** Counts a request that was assigned a worker for the first time. */
    public synchronized void countRequest(PoolId pool) {
        current(pool).requests[bucket()]++;
    }

    /** Takes one retry; false if the pool's budget of the last ten seconds is spent. */
    public synchronized boolean tryRetry(PoolId pool) {
        Window window = current(pool);
        if (sum(window.retries) >= MIN_RETRIES + SHARE * sum(window.requests)) {
            return false;
        }
        window.retries[bucket()]++;
        return true;
    }

    private Window current(PoolId pool) {
        Window window = windows.computeIfAbsent(pool, id -> new Window());
        window.moveTo(time.nowMillis() / BUCKET_MILLIS);
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

    /** Counts of the last seconds, one bucket each. */
    private static final class Window {
        private final int[] requests = new int[BUCKETS];
        private final int[] retries = new int[BUCKETS];
        private long second = Long.MIN_VALUE;

        void moveTo(long now) {
            long cleared = second == Long.MIN_VALUE ? BUCKETS : Math.min(BUCKETS, now - second);
            for (int i = 0; i < cleared; i++) {
                int bucket = Math.floorMod(now - i, BUCKETS);
                requests[bucket] = 0;
                retries[bucket] = 0;
            }
            second = now;
        }
    }
}
