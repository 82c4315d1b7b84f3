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

    private final TimeSource time;
    private final Map<PoolId, RetryWindow> windows = new HashMap<>();

    /** Creates a budget without recent requests. */
    public RetryBudget(TimeSource time) {
        this.time = time;
    }

    /** Counts a request at its first attempt. */
    public synchronized void countRequest(PoolId pool) {
        window(pool).countRequest(time.nowMillis());
    }

    /** Counts a retry if the pool's budget permits it; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry(PoolId pool) {
        return window(pool).tryRetry(time.nowMillis());
    }

    private RetryWindow window(PoolId pool) {
        return windows.computeIfAbsent(pool, id -> new RetryWindow(RETRY_RATIO, MIN_RETRIES));
    }
}
