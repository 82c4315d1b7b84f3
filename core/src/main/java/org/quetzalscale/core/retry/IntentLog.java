package org.quetzalscale.core.retry;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TeamId;

/** Records requests that carry an idempotency key, so that each runs at most once. */
public interface IntentLog {
    /**
     * Inserts the intent to run a request, or finds the one that was inserted before.
     *
     * <p>The stage fails with STORE_UNAVAILABLE (nothing ran) or IDEMPOTENCY_KEY_REUSED.
     *
     * @param fingerprint hash of queue, method, path and body; a reuse of the key must match it
     * @param waitMillis how long to wait for an attempt that runs elsewhere
     */
    CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis);

    /** Records the outcome. The stage fails with STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN. */
    CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome);

    /** Withdraws an intent whose request certainly did not run, so that a retry may run it. */
    CompletionStage<Void> withdraw(Intent intent);
}
