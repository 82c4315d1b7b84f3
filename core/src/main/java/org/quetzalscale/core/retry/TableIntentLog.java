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
 * Intents as rows of the platform's table. The row is inserted before the request is sent, so of
 * all attempts with one key at most one proceeds. Safe for several threads.
 */
public final class TableIntentLog implements IntentLog {
    /** Largest body that is kept in the row, in bytes; larger ones are objects. */
    public static final int MAX_ROW_BODY_BYTES = 64 << 10;

    private static final String PREFIX = "intent";
    private static final long FIRST_POLL_MILLIS = 50;
    private static final long MAX_POLL_MILLIS = 1_000;
    private static final long WITHDRAW_AFTER_MILLIS = 1_000;

    private final InstanceId self;
    private final String process;
    private final TransactionalTable table;
    private final ObjectStore objects;
    private final RowCodec<IntentRow> codec;
    private final TimeSource time;
    private final LongSupplier wallMillis;
    private final Predicate<String> gone;
    private final Delay delay;
    private final RowBatcher batcher;
    private final AtomicLong attempts = new AtomicLong();

    /**
     * A log over the table's rows {@code intent/}.
     *
     * @param process identifier of this process, different after each restart of the instance
     * @param wallMillis wall-clock time in milliseconds since 1970, recorded for the collection
     * @param gone whether the platform's list shows an instance as gone, such as {@link
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
            Predicate<String> gone,
            Delay delay) {
        this.self = self;
        this.process = process + "-";
        this.table = table;
        this.objects = objects;
        this.codec = codec;
        this.time = time;
        this.wallMillis = wallMillis;
        this.gone = gone;
        this.delay = delay;
        this.batcher = new RowBatcher(table, time, delay);
    }

    @Override
    public CompletionStage<IntentResult> begin(
            TeamId team, String idempotencyKey, String fingerprint, long waitMillis) {
        Intent intent =
                new Intent(
                        RowKey.of(PREFIX, team.value(), hash(idempotencyKey)),
                        process + attempts.incrementAndGet());
        return insert(new Search(intent, fingerprint, time.nowMillis() + waitMillis));
    }

    @Override
    public CompletionStage<Void> complete(Intent intent, RecordedOutcome outcome) {
        return store(intent, outcome)
                .thenCompose(stored -> record(intent, stored))
                .thenAccept(result -> requireDone(intent, result));
    }

    private CompletionStage<RowWrite.Result> record(Intent intent, StoredOutcome outcome) {
        return table.read(intent.row())
                .thenCompose(
                        row ->
                                own(intent, row)
                                        .map(r -> batcher.submit(completion(intent, r, outcome)))
                                        .orElseGet(() -> recordedBefore(intent, row)));
    }

    /** A repeated record of an outcome is done; a row of another attempt is a conflict. */
    private CompletionStage<RowWrite.Result> recordedBefore(Intent intent, Optional<Row> row) {
        return CompletableFuture.completedFuture(new RowWrite.Result(isAttempt(intent, row), row));
    }

    @Override
    public CompletionStage<Void> withdraw(Intent intent) {
        return table.read(intent.row())
                .thenApply(row -> own(intent, row))
                .thenCompose(
                        row ->
                                row.map(present -> batcher.submit(deletion(intent, present)))
                                        .orElseGet(TableIntentLog::nothing))
                .thenAccept(result -> {});
    }

    private CompletionStage<IntentResult> insert(Search search) {
        Intent intent = search.intent();
        IntentRow row =
                new IntentRow(
                        intent.attempt(),
                        self.value(),
                        search.fingerprint(),
                        wallMillis.getAsLong(),
                        null);
        RowWrite write =
                new RowWrite(
                        Condition.absent(intent.row()),
                        Mutation.put(intent.row(), codec.encode(row)),
                        present -> isAttempt(intent, present));
        return batcher.submit(write)
                .handle((result, failure) -> inserted(search, result, failure))
                .thenCompose(Function.identity());
    }

    private CompletionStage<IntentResult> inserted(
            Search search, RowWrite.Result result, Throwable failure) {
        if (failure != null) {
            QuetzalscaleException cause = QuetzalscaleException.from(failure);
            if (cause.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN) {
                // The insert may still come; without a withdrawal it would block the key.
                delay.after(WITHDRAW_AFTER_MILLIS, () -> withdraw(search.intent()));
            }
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE,
                            "the intent could not be recorded, so the request was not run",
                            cause));
        }
        if (result.isDone()) {
            return CompletableFuture.completedFuture(new IntentResult.Proceed(search.intent()));
        }
        return examine(search, result.present(), FIRST_POLL_MILLIS);
    }

    /** Decides by the row of another attempt, or waits for its outcome. */
    private CompletionStage<IntentResult> examine(
            Search search, Optional<Row> present, long pollMillis) {
        if (present.isEmpty()) {
            return insert(search);
        }
        IntentRow row = codec.decode(present.get().value());
        if (!row.fingerprint().equals(search.fingerprint())) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "the idempotency key was used with another request"));
        }
        if (row.outcome() != null) {
            return load(row.outcome()).thenApply(IntentResult.Completed::new);
        }
        long leftMillis = search.untilMillis() - time.nowMillis();
        if (isDead(row) || leftMillis <= 0) {
            return CompletableFuture.completedFuture(new IntentResult.Unknown());
        }
        CompletableFuture<IntentResult> answer = new CompletableFuture<>();
        delay.after(
                Math.min(leftMillis, pollMillis),
                () ->
                        poll(search, present, Math.min(2 * pollMillis, MAX_POLL_MILLIS))
                                .whenComplete((found, failure) -> copy(found, failure, answer)));
        return answer;
    }

    private CompletionStage<IntentResult> poll(
            Search search, Optional<Row> former, long pollMillis) {
        return table.read(search.intent().row())
                .exceptionally(failure -> former)
                .thenCompose(present -> examine(search, present, pollMillis));
    }

    /** Whether the attempt's process has ended, so that nobody will record its outcome. */
    private boolean isDead(IntentRow row) {
        boolean isFormerProcess =
                row.holder().equals(self.value()) && !row.attempt().startsWith(process);
        return isFormerProcess || gone.test(row.holder());
    }

    /** Stores the body where it belongs; repeating it writes the same object again. */
    private CompletionStage<StoredOutcome> store(Intent intent, RecordedOutcome outcome) {
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

    private CompletionStage<RecordedOutcome> load(StoredOutcome stored) {
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
        String text = codec.encode(codec.decode(row.value()).with(outcome));
        return new RowWrite(
                Condition.unchanged(row),
                Mutation.put(row.key(), text),
                present ->
                        isAttempt(intent, present)
                                && codec.decode(present.get().value()).outcome() != null);
    }

    private RowWrite deletion(Intent intent, Row row) {
        return new RowWrite(
                Condition.unchanged(row),
                Mutation.delete(row.key()),
                present -> !isAttempt(intent, present));
    }

    private boolean isAttempt(Intent intent, Optional<Row> row) {
        return row.isPresent()
                && codec.decode(row.get().value()).attempt().equals(intent.attempt());
    }

    /** The intent's row, if the attempt still has it and its outcome is open. */
    private Optional<Row> own(Intent intent, Optional<Row> row) {
        return row.filter(
                present ->
                        isAttempt(intent, row) && codec.decode(present.value()).outcome() == null);
    }

    private static void requireDone(Intent intent, RowWrite.Result result) {
        if (!result.isDone()) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_STATE,
                    "intent " + intent.row() + " belongs to another attempt");
        }
    }

    private static CompletionStage<RowWrite.Result> nothing() {
        return CompletableFuture.completedFuture(new RowWrite.Result(true, Optional.empty()));
    }

    private static <T> void copy(T value, Throwable failure, CompletableFuture<T> to) {
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

    /** A search for the right to run, until a monotonic time in milliseconds. */
    private record Search(Intent intent, String fingerprint, long untilMillis) {}
}
