package org.quetzalscale.core.job;

/**
 * Keeps the transactions of one kind of work below a rate, so that a burst of it leaves the store
 * to others. Not safe for use by several threads.
 */
public final class WriteBudget {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double writesPerMilli;
    private final double burstWrites;
    private double writes;
    private long atMillis;

    /**
     * A budget that starts full.
     *
     * @param writesPerSecond transactions per second over any longer time
     * @param burstWrites transactions that may follow each other at once
     */
    public WriteBudget(double writesPerSecond, double burstWrites, long nowMillis) {
        if (!(writesPerSecond > 0) || !(burstWrites >= 1)) {
            throw new IllegalArgumentException(
                    "no budget: " + writesPerSecond + " writes/s, burst " + burstWrites);
        }
        this.writesPerMilli = writesPerSecond / MILLIS_PER_SECOND;
        this.burstWrites = burstWrites;
        this.writes = burstWrites;
        this.atMillis = nowMillis;
    }

    /** Takes one transaction from the budget, if it has one. */
    public boolean tryTake(long nowMillis) {
        if (nowMillis > atMillis) {
            writes = Math.min(burstWrites, writes + (nowMillis - atMillis) * writesPerMilli);
            atMillis = nowMillis;
        }
        if (writes < 1) {
            return false;
        }
        writes--;
        return true;
    }
}
