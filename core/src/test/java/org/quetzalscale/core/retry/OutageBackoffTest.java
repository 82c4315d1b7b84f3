package org.quetzalscale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests the advised delays for callers that make five attempts during an outage of some seconds.
 */
final class OutageBackoffTest {
    private static final int MAX_ATTEMPTS = 5;

    private final OutageBackoff backoff = new OutageBackoff();

    /**
     * Time of the last attempt of a caller whose first attempt is at the given time of an outage.
     */
    private long lastAttemptMillis(long firstMillis) {
        backoff.recordFailure(0);
        long nowMillis = firstMillis;
        for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            nowMillis += backoff.retryAfterSeconds(nowMillis) * 1_000L;
        }
        return nowMillis;
    }

    /** Guards against callers that use up their attempts before an outage of 8 s ends. */
    @Test
    void attemptsLastLongerThanAnOutage() {
        assertThat(lastAttemptMillis(0)).isGreaterThan(6_000);
        assertThat(lastAttemptMillis(2_000)).isGreaterThan(8_000);
        assertThat(lastAttemptMillis(6_000)).isGreaterThan(8_000);
    }

    /** Guards against delays that continue after an outage, or exceed the upper bound. */
    @Test
    void staysWithinItsBounds() {
        assertThat(backoff.retryAfterSeconds(5_000)).isEqualTo(1);
        backoff.recordFailure(0);
        assertThat(backoff.retryAfterSeconds(100)).isEqualTo(1);
        assertThat(backoff.retryAfterSeconds(60_000)).isEqualTo(3);
        backoff.recordSuccess();
        assertThat(backoff.retryAfterSeconds(60_000)).isEqualTo(1);
    }
}
