package org.quetzalscale.core.retry;

/**
 * Computes the retry delay to advise to callers during the outage of a dependency.
 *
 * <p>Callers make few attempts. An outage that has lasted for some time is likely to last as long
 * again, so the advised delay grows with the age of the outage. It is short at first, so that
 * callers retry soon after a short outage.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class OutageBackoff {
    private static final long NO_OUTAGE = -1;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MIN_DELAY_SECONDS = 1;

    /** Upper bound: a job that is submitted with a longer delay is hardly useful any more. */
    private static final int MAX_DELAY_SECONDS = 3;

    private long outageStartMillis = NO_OUTAGE;

    /** Records a response of the dependency, which ends an outage. */
    public void recordSuccess() {
        outageStartMillis = NO_OUTAGE;
    }

    /** Records a failed call of the dependency, which starts an outage unless one lasts already. */
    public void recordFailure(long nowMillis) {
        if (outageStartMillis == NO_OUTAGE) {
            outageStartMillis = nowMillis;
        }
    }

    /** Delay after which a caller should retry, in seconds. */
    public int retryAfterSeconds(long nowMillis) {
        if (outageStartMillis == NO_OUTAGE) {
            return MIN_DELAY_SECONDS;
        }
        long age = (nowMillis - outageStartMillis) / MILLIS_PER_SECOND;
        return (int) Math.max(MIN_DELAY_SECONDS, Math.min(MAX_DELAY_SECONDS, age));
    }
}
