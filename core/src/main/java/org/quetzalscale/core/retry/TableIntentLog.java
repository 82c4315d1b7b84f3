package org.quetzalscale.core.retry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.object.ObjectStore;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.Delay;
import org.quetzalscale.core.time.TimeSource;

/**
 * Stores intents as rows of the platform's table. The row is inserted before the request is sent,
 * so at most one of all attempts with the same key proceeds. Thread-safe.
 */
public final class TableIntentLog implements IntentLog {
    /** Size of the largest body that is kept in the row, in bytes. Larger bodies are objects. */
    public static final int MAX_ROW_BODY_BYTES = 64 << 10;

    private static final String ROW_PREFIX = "intent";
    private static final long FIRST_POLL_MILLIS = 50;
    private static final long MAX_POLL_MILLIS = 1_000;
    private static final long WITHDRAW_DELAY_MILLIS = 1_000;

    private final InstanceId self;
    private final String processPrefix;
    private final TransactionalTable table;
    private final ObjectStore objects;
    private final RowCodec<IntentRow> codec;
    private final TimeSource time;
    private final LongSupplier wallMillis;
    private final Predicate<String> isGone;
    private final Delay delay;
    private final RowBatcher batcher;
    private final AtomicLong attempts = new AtomicLong();

    /**
     * Creates a log that uses the table's rows {@code intent/}.
     *
     * @param process identifier of this process, which changes at each restart of the instance
     * @param wallMillis wall-clock time in milliseconds since 1970, recorded to find expired
     *     intents
     * @param isGone whether the platform lists an instance as gone, such as {@link
     *     org.quetzalscale.core.limit.HolderLivenessTracker#isGone}
     */
    public TableIntentLog(
            InstanceId self,
            String process,
            TransactionalTable table,
            ObjectStore objects,
            RowCodec<IntentRow> codec,
            TimeSource time,
            LongSupplier wallMillis,
            Predicate<String> isGone,
            Delay delay) {
        this.self = self;
        this.processPrefix = process + "-";
        this.table = table;
        this.objects = objects;
        this.codec = codec;
        this.time = time;
        this.wallMillis = wallMillis;
        this.isGone = isGone;
        this.delay = delay;
        this.batcher = new RowBatcher(table, time, delay);
    }

    @Override
    public CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis) {
        Intent intent =
                new Intent(
                        RowKey.of(ROW_PREFIX, team.value(), hash(idempotencyKey)),
                        processPrefix + attempts.incrementAndGet());
        return insert(new BeginCall(intent, fingerprint, time.nowMillis() + waitMillis));
    }

    @Override
    public CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome) {
        return storeOutcome(intent, outcome)
                .thenCompose(stored -> record(intent, stored))
                .thenAccept(result -> requireApplied(intent, result));
    }

    private CompletionStage<RowWrite.Result> record(Intent intent, StoredOutcome outcome) {
        return table.read(intent.row())
                .thenCompose(
                        row ->
                                ownRowWithoutOutcome(intent, row)
                                        .map(r -> batcher.submit(completion(intent, r, outcome)))
                                        .orElseGet(() -> alreadyRecorded(intent, row)));
    }

    /** An outcome that is recorded again counts as applied. A row of another attempt does not. */
    private CompletionStage<RowWrite.Result> alreadyRecorded(Intent intent, Optional<Row> row) {
        return CompletableFuture.completedFuture(new RowWrite.Result(isAttempt(intent, row), row));
    }

    @Override
    public CompletionStage<Void> withdraw(Intent intent) {
        return table.read(intent.row())
                .thenApply(row -> ownRowWithoutOutcome(intent, row))
                .thenCompose(
                        row ->
                                row.map(current -> batcher.submit(deletion(intent, current)))
                                        .orElseGet(TableIntentLog::alreadyWithdrawn))
                .thenAccept(result -> {});
    }

    private CompletionStage<IntentResult> insert(BeginCall call) {
        Intent intent = call.intent();
        IntentRow row =
                new IntentRow(
                        intent.attempt(),
                        self.value(),
                        call.fingerprint(),
                        wallMillis.getAsLong(),
                        null);
        RowWrite write =
                new RowWrite(
                        Condition.absent(intent.row()),
                        Mutation.put(intent.row(), codec.encode(row)),
                        current -> isAttempt(intent, current));
        return batcher.submit(write)
                .handle((result, failure) -> handleInsertResult(call, result, failure))
                .thenCompose(Function.identity());
    }

    private CompletionStage<IntentResult> handleInsertResult(
            BeginCall call, RowWrite.Result result, Throwable failure) {
        if (failure != null) {
            QuetzalscaleException cause = QuetzalscaleException.from(failure);
            if (cause.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN) {
                // The insert may still take effect, and would then block the key.
                delay.after(WITHDRAW_DELAY_MILLIS, () -> withdraw(call.intent()));
            }
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE,
                            "the intent could not be recorded, so the request did not run",
                            cause));
        }
        if (result.isApplied()) {
            return CompletableFuture.completedFuture(new IntentResult.Proceed(call.intent()));
        }
        return examine(call, result.current(), FIRST_POLL_MILLIS);
    }

    /** Completes the call from the row of another attempt, or waits for its outcome. */
    private CompletionStage<IntentResult> examine(
            BeginCall call, Optional<Row> current, long pollMillis) {
        if (current.isEmpty()) {
            return insert(call);
        }
        IntentRow row = codec.decode(current.get().value());
        if (!row.fingerprint().equals(call.fingerprint())) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "the idempotency key was already used with a different request"));
        }
        if (row.outcome() != null) {
            return loadOutcome(row.outcome()).thenApply(IntentResult.Completed::new);
        }
        long remainingMillis = call.deadlineMillis() - time.nowMillis();
        if (hasHolderEnded(row) || remainingMillis <= 0) {
            return CompletableFuture.completedFuture(new IntentResult.Unknown());
        }
        CompletableFuture<IntentResult> outcomeFound = new CompletableFuture<>();
        delay.after(
                Math.min(remainingMillis, pollMillis),
                () ->
                        poll(call, current, Math.min(2 * pollMillis, MAX_POLL_MILLIS))
                                .whenComplete(
                                        (found, failure) ->
                                                completeFrom(found, failure, outcomeFound)));
        return outcomeFound;
    }

    private CompletionStage<IntentResult> poll(
            BeginCall call, Optional<Row> previous, long pollMillis) {
        return table.read(call.intent().row())
                .exceptionally(failure -> previous)
                .thenCompose(current -> examine(call, current, pollMillis));
    }

    /** Whether the process of the attempt has ended, so that its outcome will never be recorded. */
    private boolean hasHolderEnded(IntentRow row) {
        boolean isPreviousProcess =
                row.holder().equals(self.value()) && !row.attempt().startsWith(processPrefix);
        return isPreviousProcess || isGone.test(row.holder());
    }

    /** Stores a large body as an object. A repeated call writes the same object again. */
    private CompletionStage<StoredOutcome> storeOutcome(Intent intent, RecordedOutcome outcome) {
        byte[] body = outcome.body();
        if (body == null || body.length <= MAX_ROW_BODY_BYTES) {
            return CompletableFuture.completedFuture(
                    new StoredOutcome(outcome.status(), outcome.headers(), body, null));
        }
        String name = intent.row().value() + "/" + intent.attempt();
        return objects.put(name, body)
                .thenApply(
                        done -> new StoredOutcome(outcome.status(), outcome.headers(), null, name));
    }

    private CompletionStage<RecordedOutcome> loadOutcome(StoredOutcome stored) {
        if (stored.object() == null) {
            return CompletableFuture.completedFuture(
                    new RecordedOutcome(stored.status(), stored.headers(), stored.body()));
        }
        return objects.get(stored.object())
                .thenApply(
                        body ->
                                new RecordedOutcome(
                                        stored.status(), stored.headers(), body.orElse(null)));
    }

    private RowWrite completion(Intent intent, Row row, StoredOutcome outcome) {
        String text = codec.encode(codec.decode(row.value()).withOutcome(outcome));
        return new RowWrite(
                Condition.unchanged(row),
                Mutation.put(row.key(), text),
                current ->
                        isAttempt(intent, current)
                                && codec.decode(current.get().value()).outcome() != null);
    }

    private RowWrite deletion(Intent intent, Row row) {
        return new RowWrite(
                Condition.unchanged(row),
                Mutation.delete(row.key()),
                current -> !isAttempt(intent, current));
    }

    private boolean isAttempt(Intent intent, Optional<Row> row) {
        return row.isPresent()
                && codec.decode(row.get().value()).attempt().equals(intent.attempt());
    }

    /** The intent's row, if it still belongs to the attempt and has no outcome yet. */
    private Optional<Row> ownRowWithoutOutcome(Intent intent, Optional<Row> row) {
        return row.filter(
                current ->
                        isAttempt(intent, row) && codec.decode(current.value()).outcome() == null);
    }

    private static void requireApplied(Intent intent, RowWrite.Result result) {
        if (!result.isApplied()) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    "intent " + intent.row() + " belongs to another attempt");
        }
    }

    private static CompletionStage<RowWrite.Result> alreadyWithdrawn() {
        return CompletableFuture.completedFuture(new RowWrite.Result(true, Optional.empty()));
    }

    private static <T> void completeFrom(T value, Throwable failure, CompletableFuture<T> to) {
        if (failure == null) {
            to.complete(value);
        } else {
            to.completeExceptionally(failure);
        }
    }

    private static String hash(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * A call of {@link #begin}, with the monotonic time in milliseconds until which it may wait.
     */
    private record BeginCall(Intent intent, String fingerprint, long deadlineMillis) {}
}
