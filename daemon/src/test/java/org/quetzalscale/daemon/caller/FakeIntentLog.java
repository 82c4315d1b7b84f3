package org.quetzalscale.daemon.caller;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.retry.Intent;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.retry.IntentResult;
import org.quetzalscale.core.retry.RecordedOutcome;
import org.quetzalscale.core.table.RowKey;

/** An intent log in memory; an intent without an outcome gives the result Unknown. */
final class FakeIntentLog implements IntentLog {
    private record Entry(String fingerprint, RecordedOutcome outcome) {}

    final Map<RowKey, CompletableFuture<RecordedOutcome>> outcomes = new ConcurrentHashMap<>();
    volatile boolean unavailable;
    private final Map<RowKey, Entry> entries = new ConcurrentHashMap<>();

    static RowKey row(String key) {
        return RowKey.of("intent", "agro", key);
    }

    boolean holds(String key) {
        return entries.containsKey(row(key));
    }

    CompletableFuture<RecordedOutcome> outcome(String key) {
        return outcomes.computeIfAbsent(row(key), row -> new CompletableFuture<>());
    }

    @Override
    public CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis) {
        if (unavailable) {
            return failed(ErrorKind.STORE_UNAVAILABLE);
        }
        RowKey row = row(idempotencyKey);
        Entry found = entries.putIfAbsent(row, new Entry(fingerprint, null));
        if (found == null) {
            return done(new IntentResult.Proceed(new Intent(row, "attempt")));
        }
        if (!found.fingerprint().equals(fingerprint)) {
            return failed(ErrorKind.IDEMPOTENCY_KEY_REUSED);
        }
        return done(
                found.outcome() == null
                        ? new IntentResult.Unknown()
                        : new IntentResult.Completed(found.outcome()));
    }

    @Override
    public CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome) {
        entries.computeIfPresent(
                intent.row(), (row, entry) -> new Entry(entry.fingerprint(), outcome));
        outcomes.computeIfAbsent(intent.row(), row -> new CompletableFuture<>()).complete(outcome);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> withdraw(Intent intent) {
        entries.remove(intent.row());
        return CompletableFuture.completedFuture(null);
    }

    private static CompletionStage<IntentResult> done(IntentResult result) {
        return CompletableFuture.completedFuture(result);
    }

    private static CompletionStage<IntentResult> failed(ErrorKind kind) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, kind.code()));
    }
}
