package org.quetzalscale.core.retry;

/**
 * When callers should come back while a dependency is away.
 *
 * <p>Callers make few attempts. An outage that has lasted for some time is likely to last as long
 * again, so the advised delay grows with its age; at the start, callers come back soon.
 *
 * <p>Times are milliseconds of one monotonic clock. Not safe for use by several threads.
 */
public final class OutageBackoff {
    private static final long NOT_AWAY = -1;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MIN_SECONDS = 1;

    /** A job that is submitted later than this is hardly worth its work any more. */
    private static final int MAX_SECONDS = 3;

    private long awaySinceMillis = NOT_AWAY;

    /** The dependency answered. */
    public void recordSuccess() {
        awaySinceMillis = NOT_AWAY;
    }

    /** The dependency did not answer. */
    public void recordFailure(long nowMillis) {
        if (awaySinceMillis == NOT_AWAY) {
            awaySinceMillis = nowMillis;
        }
    }

    /** After how many seconds a caller should come back. */
    public int retryAfterSeconds(long nowMillis) {
        if (awaySinceMillis == NOT_AWAY) {
            return MIN_SECONDS;
        }
        long age = (nowMillis - awaySinceMillis) / MILLIS_PER_SECOND;
        return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, age));
    }
}
