package org.quetzalscale.core.job;

/**
 * Token bucket that limits the rate of transactions of one kind of work, so that a burst of it does
 * not starve other users of the store. Not thread-safe.
 */
public final class WriteRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double writesPerMilli;
    private final double burstWrites;
    private double tokens;
    private long refilledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param writesPerSecond sustained rate, in transactions per second, above 0
     * @param burstWrites maximum number of transactions in a burst, at least 1
     * @param nowMillis current monotonic time in milliseconds
     */
    public WriteRateLimiter(double writesPerSecond, double burstWrites, long nowMillis) {
        if (!(writesPerSecond > 0) || !(burstWrites >= 1)) {
            throw new IllegalArgumentException(
                    "invalid rate limit: " + writesPerSecond + " writes/s, burst " + burstWrites);
        }
        this.writesPerMilli = writesPerSecond / MILLIS_PER_SECOND;
        this.burstWrites = burstWrites;
        this.tokens = burstWrites;
        this.refilledAtMillis = nowMillis;
    }

    /** Takes one token; false if the bucket has none. */
    public boolean tryAcquire(long nowMillis) {
        if (nowMillis > refilledAtMillis) {
            tokens =
                    Math.min(burstWrites, tokens + (nowMillis - refilledAtMillis) * writesPerMilli);
            refilledAtMillis = nowMillis;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
