package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.table.Transaction;

/** An in-memory table with a change feed, which a test can make unavailable. */
final class InMemoryFeedTable implements FeedTable {
    private static final int ANSWER_MILLIS = 5;

    private final InMemoryTable table = new InMemoryTable();
    private final Optional<ScheduledExecutorService> loop;
    private final List<ChangedRow> changes = new ArrayList<>();
    volatile boolean unavailable;

    /** What the table declares to take; it takes more. */
    volatile TableLimits limits = TableLimits.DEFAULT;

    /** Whether calls for changes get no answers. */
    volatile boolean feedSilent;

    /**
     * The next transaction that writes a key with this prefix gets no answer, and is carried out
     * only by {@link #releaseHeld}.
     */
    private Optional<String> heldPrefix = Optional.empty();

    private Transaction heldTransaction;

    /** Changes up to this version are no longer available to readers. */
    private long droppedVersion;

    /** Number of reads that were refused because their history was dropped. */
    volatile int refusedReaders;

    /** Creates a table whose change feed is not read. */
    InMemoryFeedTable() {
        this.loop = Optional.empty();
    }

    /** Creates a table that answers calls for changes on the event loop of their callers. */
    InMemoryFeedTable(ScheduledExecutorService loop) {
        this.loop = Optional.of(loop);
    }

    @Override
    public synchronized CompletionStage<Optional<Row>> read(RowKey key) {
        return unavailable ? failUnavailable() : table.read(key);
    }

    @Override
    public synchronized CompletionStage<List<Row>> scan(String prefix) {
        return unavailable ? failUnavailable() : table.scan(prefix);
    }

    @Override
    public synchronized CompletionStage<RowSnapshot> snapshot(String prefix) {
        return scan(prefix).thenApply(rows -> new RowSnapshot(rows, table.version()));
    }

    @Override
    public synchronized CompletionStage<CommitResult> commit(Transaction transaction) {
        if (unavailable) {
            return failUnavailable();
        }
        if (heldPrefix.isPresent() && writes(transaction, heldPrefix.get())) {
            heldPrefix = Optional.empty();
            heldTransaction = transaction;
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(ErrorKind.STORE_OUTCOME_UNKNOWN, "no answer"));
        }
        return apply(transaction);
    }

    @Override
    public TableLimits limits() {
        return limits;
    }

    private static boolean writes(Transaction transaction, String prefix) {
        return transaction.mutations().stream()
                .anyMatch(mutation -> mutation.key().value().startsWith(prefix));
    }

    /** Holds back the next transaction that writes a key with this prefix. */
    synchronized void holdNext(String prefix) {
        heldPrefix = Optional.of(prefix);
    }

    /** Carries out the transaction that was held back. */
    synchronized void releaseHeld() {
        apply(heldTransaction);
    }

    private CompletionStage<CommitResult> apply(Transaction transaction) {
        return table.commit(transaction)
                .thenApply(
                        result -> {
                            if (result.isCommitted()) {
                                transaction.mutations().forEach(this::record);
                            }
                            return result;
                        });
    }

    /** Answers without waiting for changes; the services under test ask again. */
    @Override
    public synchronized CompletionStage<Changes> changesAfter(
            String name, long version, int waitMillis) {
        if (unavailable) {
            return failUnavailable();
        }
        if (version < droppedVersion) {
            refusedReaders++;
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(ErrorKind.REVISION_TOO_OLD, "dropped"));
        }
        List<ChangedRow> found =
                changes.stream()
                        .filter(row -> row.version() > version)
                        .filter(row -> row.key().value().startsWith(name + "/"))
                        .toList();
        CompletableFuture<Changes> reply = new CompletableFuture<>();
        if (feedSilent) {
            return reply;
        }
        Changes answer = new Changes(found, table.version());
        loop.orElseThrow()
                .schedule(() -> reply.complete(answer), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        return reply;
    }

    /** Drops the history after a change, so that every reader has to read all rows again. */
    synchronized void dropHistory() {
        put("op//dropped", "");
        droppedVersion = table.version();
    }

    /** Deletes a row and drops the history, so that no reader is told of the deletion. */
    synchronized void deleteUnseen(String key) {
        delete(key);
        dropHistory();
    }

    void delete(String key) {
        commit(Transaction.builder().add(Mutation.delete(new RowKey(key))).build());
    }

    void put(String key, String value) {
        commit(Transaction.builder().put(new RowKey(key), value).build());
    }

    private void record(Mutation mutation) {
        changes.add(new ChangedRow(mutation.key(), table.version(), mutation.value()));
    }

    private static <T> CompletionStage<T> failUnavailable() {
        return CompletableFuture.failedFuture(
                new QuetzalscaleException(ErrorKind.STORE_UNAVAILABLE, "away"));
    }
}
