package org.quetzalscale.core.job;

/**
 * Keeps the transactions of one kind of work below a rate, so that a burst of it leaves the store
 * to others. Not safe for use by several threads.
 */
public final class WriteRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double tokensPerMilli;
    private final double burstWrites;
    private double tokens;
    private long refilledAtMillis;

    /**
     * A budget that starts full.
     *
     * @param writesPerSecond transactions per second over any longer time
     * @param burstWrites transactions that may follow each other at once
     */
    public WriteRateLimiter(double writesPerSecond, double burstWrites, long nowMillis) {
        if (!(writesPerSecond > 0) || !(burstWrites >= 1)) {
            throw new IllegalArgumentException(
                    "no budget: " + writesPerSecond + " writes/s, burst " + burstWrites);
        }
        this.tokensPerMilli = writesPerSecond / MILLIS_PER_SECOND;
        this.burstWrites = burstWrites;
        this.tokens = burstWrites;
        this.refilledAtMillis = nowMillis;
    }

    /** Takes one transaction from the budget, if it has one. */
    public boolean tryAcquire(long nowMillis) {
        if (nowMillis > refilledAtMillis) {
            tokens =
                    Math.min(burstWrites, tokens + (nowMillis - refilledAtMillis) * tokensPerMilli);
            refilledAtMillis = nowMillis;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
