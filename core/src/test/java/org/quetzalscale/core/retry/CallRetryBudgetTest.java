package org.quetzalscale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the calls to a full store. */
final class CallRetryBudgetTest {
    private static final int CALLS = 200;

    private final CallRetryBudget budget = new CallRetryBudget();

    private int retriesAt(long nowMillis) {
        int permitted = 0;
        while (budget.tryRetry(nowMillis)) {
            permitted++;
        }
        return permitted;
    }

    @Test
    void permitsAShareOfTheCallsOfTheLastSeconds() {
        for (int i = 0; i < CALLS; i++) {
            budget.countCall(5_000);
        }
        assertThat(retriesAt(5_000))
                .isEqualTo(
                        CallRetryBudget.MIN_RETRIES + (int) (CALLS * CallRetryBudget.RETRY_RATIO));
        assertThat(retriesAt(6_000)).isZero();
        assertThat(retriesAt(15_000)).isEqualTo(CallRetryBudget.MIN_RETRIES);
    }
}
