package org.quetzalscale.core.retry;

/**
 * Limits the calls that an instance sends again, directly or through a sibling, to a tenth of all
 * of its calls in the last ten seconds plus a small minimum. The load that it answers is a slow or
 * full store, which retries would keep full.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class CallRetryBudget {
    /** Number of repeated calls permitted per call in the window. */
    public static final double RETRY_RATIO = 0.1;

    /**
     * Number of repeated calls permitted in the window in addition, for an instance with few calls.
     */
    public static final int MIN_RETRIES = 5;

    private final RetryWindow window = new RetryWindow(RETRY_RATIO, MIN_RETRIES);

    /** Counts a call when it is sent for the first time. */
    public void countCall(long nowMillis) {
        window.countRequest(nowMillis);
    }

    /** Counts a repeated call if the budget permits it; returns false if it is exhausted. */
    public boolean tryRetry(long nowMillis) {
        return window.tryRetry(nowMillis);
    }
}
