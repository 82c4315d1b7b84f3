package org.quetzalscale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The load pattern: callers with five attempts each, before a store that is away for seconds. */
final class OutageBackoffTest {
    private static final int ATTEMPTS = 5;

    private final OutageBackoff backoff = new OutageBackoff();

    /** When the last attempt of a caller comes that first calls at the given time of an outage. */
    private long lastAttemptMillis(long firstMillis) {
        backoff.recordFailure(0);
        long now = firstMillis;
        for (int attempt = 1; attempt < ATTEMPTS; attempt++) {
            now += backoff.retryAfterSeconds(now) * 1_000L;
        }
        return now;
    }

    /** Guards against callers whose attempts are over before an outage of 8 s is. */
    @Test
    void attemptsLastLongerThanAnOutage() {
        assertThat(lastAttemptMillis(0)).isGreaterThan(6_000);
        assertThat(lastAttemptMillis(2_000)).isGreaterThan(8_000);
        assertThat(lastAttemptMillis(6_000)).isGreaterThan(8_000);
    }

    /** Guards against callers that stay away after a short outage, or are sent away for long. */
    @Test
    void staysWithinItsLimits() {
        assertThat(backoff.retryAfterSeconds(5_000)).isEqualTo(1);
        backoff.recordFailure(0);
        assertThat(backoff.retryAfterSeconds(100)).isEqualTo(1);
        assertThat(backoff.retryAfterSeconds(60_000)).isEqualTo(3);
        backoff.recordSuccess();
        assertThat(backoff.retryAfterSeconds(60_000)).isEqualTo(1);
    }
}
