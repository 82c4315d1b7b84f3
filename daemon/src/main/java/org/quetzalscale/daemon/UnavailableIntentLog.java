package org.quetzalscale.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.retry.Intent;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.retry.IntentResult;
import org.quetzalscale.core.retry.RecordedOutcome;

/** Refuses requests with an idempotency key until the log of core.retry is wired. */
final class UnavailableIntentLog implements IntentLog {
    @Override
    public CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis) {
        return refuse();
    }

    @Override
    public CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome) {
        return refuse();
    }

    @Override
    public CompletionStage<Void> withdraw(Intent intent) {
        return refuse();
    }

    private static <T> CompletionStage<T> refuse() {
        return CompletableFuture.failedFuture(
                new QuetzalscaleException(
                        ErrorKind.STORE_UNAVAILABLE, "idempotency keys are not served"));
    }
}
