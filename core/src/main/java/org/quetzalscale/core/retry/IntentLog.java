package org.quetzalscale.core.retry;

import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TeamId;

/** Log of the requests with an idempotency key, which ensures that each runs at most once. */
public interface IntentLog {
    /**
     * Inserts the intent to run a request, or looks up the intent that already exists for the key.
     *
     * <p>The stage fails with STORE_UNAVAILABLE, in which case the request must not run, or with
     * IDEMPOTENCY_KEY_REUSED.
     *
     * @param fingerprint hash of queue, method, path and body, which must be the same for each use
     *     of the key
     * @param waitMillis maximum time to wait for the outcome of another attempt, in milliseconds
     */
    CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis);

    /** Records the outcome. The stage fails with STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN. */
    CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome);

    /**
     * Deletes the intent of a request that is known not to have run, so that a retry may run it.
     */
    CompletionStage<Void> withdraw(Intent intent);
}
