package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/** Reads and writes rows of jobs. Rows are read back if the response to a commit was lost. */
final class JobRows {
    private final TransactionalTable table;
    private final JobCodecs codecs;

    JobRows(TransactionalTable table, JobCodecs codecs) {
        this.table = table;
        this.codecs = codecs;
    }

    void addChange(Transaction.Builder transaction, JobChange change) {
        Row before = change.before().row();
        JobRow after = change.after();
        if (after.state().ended()) {
            transaction.delete(before);
            transaction.insert(JobKeys.endedJob(after.id()), codecs.job().encode(after));
        } else {
            transaction.replace(before, codecs.job().encode(after));
        }
        change.ledger()
                .ifPresent(entry -> transaction.insert(entry.key(), codecs.ledger().encode(entry)));
    }

    CompletionStage<Optional<List<StoredJob>>> commitAndReadBack(
            Transaction transaction, List<JobChange> changes) {
        return recoverUnknownOutcome(
                table.commit(transaction).thenApply(result -> storedJobs(result, changes)),
                failure -> readBack(changes));
    }

    private Optional<List<StoredJob>> storedJobs(CommitResult result, List<JobChange> changes) {
        if (!result.isCommitted()) {
            return Optional.empty();
        }
        return Optional.of(
                changes.stream()
                        .map(
                                change ->
                                        new StoredJob(
                                                new Row(
                                                        rowKey(change.after()),
                                                        result.version(),
                                                        codecs.job().encode(change.after())),
                                                change.after()))
                        .toList());
    }

    /** Empty unless all rows are as written; a transaction writes all of its rows or none. */
    private CompletionStage<Optional<List<StoredJob>>> readBack(List<JobChange> changes) {
        List<CompletableFuture<Optional<Row>>> reads = new ArrayList<>();
        for (JobChange change : changes) {
            reads.add(table.read(rowKey(change.after())).toCompletableFuture());
        }
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> {
                            List<StoredJob> written = new ArrayList<>();
                            for (int i = 0; i < changes.size(); i++) {
                                JobRow after = changes.get(i).after();
                                Optional<Row> row = reads.get(i).join();
                                if (row.isEmpty()
                                        || !row.get().value().equals(codecs.job().encode(after))) {
                                    return Optional.empty();
                                }
                                written.add(new StoredJob(row.get(), after));
                            }
                            return Optional.of(written);
                        });
    }

    CompletionStage<Optional<StoredJob>> find(JobId id) {
        // A job moves from its open row to its ended row and never back, so this order misses none.
        return table.read(JobKeys.openJob(id))
                .thenCompose(
                        row ->
                                row.isPresent()
                                        ? CompletableFuture.completedFuture(row)
                                        : table.read(JobKeys.endedJob(id)))
                .thenApply(row -> row.map(this::decode));
    }

    StoredJob decode(Row row) {
        return new StoredJob(row, codecs.job().decode(row.value()));
    }

    private static RowKey rowKey(JobRow job) {
        return job.state().ended() ? JobKeys.endedJob(job.id()) : JobKeys.openJob(job.id());
    }

    static <T> CompletionStage<T> recoverUnknownOutcome(
            CompletionStage<T> stage,
            Function<QuetzalscaleException, CompletionStage<T>> recovery) {
        return stage.handle(
                        (value, thrown) -> {
                            if (thrown == null) {
                                return CompletableFuture.<T>completedFuture(value);
                            }
                            QuetzalscaleException failure = QuetzalscaleException.from(thrown);
                            return failure.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN
                                    ? recovery.apply(failure)
                                    : CompletableFuture.<T>failedFuture(failure);
                        })
                .thenCompose(Function.identity());
    }
}
