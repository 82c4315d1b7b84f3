package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Writes the configuration to the table.
 *
 * <p>Each write is one transaction on the revision row, the resources and the change records. It is
 * planned against the latest snapshot, and planned again if another write commits before it.
 */
public final class ConfigStore {
    /** Number of change records that are kept; each write deletes those that exceed it. */
    public static final int KEPT_CHANGES = 1_000;

    private static final int MAX_ATTEMPTS = 16;

    private final TransactionalTable table;
    private final ConfigCodecs codecs;
    private final ConfigReader reader;
    private final Supplier<String> writerIds;

    /**
     * Creates a store in the given table.
     *
     * @param writerIds generates ids that are unique across the writes of all instances
     */
    public ConfigStore(TransactionalTable table, ConfigCodecs codecs, Supplier<String> writerIds) {
        this.table = table;
        this.codecs = codecs;
        this.reader = new ConfigReader(table, codecs);
        this.writerIds = writerIds;
    }

    /** The reader of the same table. */
    public ConfigReader reader() {
        return reader;
    }

    /**
     * Writes edits and returns the changes that were accepted, in order.
     *
     * <p>The stage fails with the kinds of {@link EditRules#plan}; VERSION_CONFLICT also if an
     * added condition failed or other writes committed first in every attempt; STORE_UNAVAILABLE if
     * nothing was accepted; STORE_OUTCOME_UNKNOWN if the write may have been accepted and could not
     * be read back.
     *
     * @param base a snapshot to plan from, which saves reading all resources if it is recent
     */
    public CompletionStage<List<Change>> write(ConfigSnapshot base, ConfigWrite write) {
        return attempt(base, write, writerIds.get(), MAX_ATTEMPTS);
    }

    private CompletionStage<List<Change>> attempt(
            ConfigSnapshot base, ConfigWrite write, String writerId, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.VERSION_CONFLICT,
                            "other writes were accepted first, " + MAX_ATTEMPTS + " times"));
        }
        return table.read(ConfigRows.REVISION)
                .thenCompose(
                        row ->
                                reader.advance(base, ConfigReader.revisionOf(row))
                                        .thenCompose(
                                                latest ->
                                                        writeAtRevision(
                                                                row,
                                                                latest,
                                                                write,
                                                                writerId,
                                                                attemptsLeft)));
    }

    private CompletionStage<List<Change>> writeAtRevision(
            Optional<Row> revisionRow,
            ConfigSnapshot latest,
            ConfigWrite write,
            String writerId,
            int attemptsLeft) {
        if (!latest.revision().equals(ConfigReader.revisionOf(revisionRow))) {
            return attempt(latest, write, writerId, attemptsLeft - 1);
        }
        List<Change> changes = EditRules.plan(latest, write.edits());
        return readRows(changes)
                .thenCompose(
                        rows -> {
                            Transaction transaction =
                                    transaction(revisionRow, changes, rows, write, writerId);
                            return new Commit(transaction, changes, writerId)
                                    .run()
                                    .thenCompose(
                                            result -> {
                                                if (result.isCommitted()) {
                                                    return CompletableFuture.completedFuture(
                                                            changes);
                                                }
                                                RowKey key = result.conflict().orElseThrow();
                                                failIfAddedCondition(write, key);
                                                return attempt(
                                                        latest, write, writerId, attemptsLeft - 1);
                                            });
                        });
    }

    private static void failIfAddedCondition(ConfigWrite write, RowKey key) {
        if (write.addsConditionOn(key)) {
            throw new QuetzalscaleException(
                    ErrorKind.VERSION_CONFLICT, "row " + key + " changed since it was read");
        }
    }

    /** Reads the current rows of the resources and limits that the changes write. */
    private CompletionStage<Map<RowKey, Optional<Row>>> readRows(List<Change> changes) {
        Map<RowKey, CompletableFuture<Optional<Row>>> reads = new LinkedHashMap<>();
        for (Change change : changes) {
            RowKey key = ConfigRows.resource(change.kind(), change.name());
            reads.computeIfAbsent(key, k -> table.read(k).toCompletableFuture());
            if (change.kind() == Kind.TEAMS) {
                RowKey limit = ConfigRows.limit(change.name());
                reads.computeIfAbsent(limit, k -> table.read(k).toCompletableFuture());
            }
        }
        return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> {
                            Map<RowKey, Optional<Row>> rows = new LinkedHashMap<>();
                            reads.forEach((key, read) -> rows.put(key, read.join()));
                            return rows;
                        });
    }

    private Transaction transaction(
            Optional<Row> revisionRow,
            List<Change> changes,
            Map<RowKey, Optional<Row>> rows,
            ConfigWrite write,
            String writerId) {
        List<Condition> conditions = new ArrayList<>();
        List<Mutation> mutations = new ArrayList<>();
        conditions.add(condition(ConfigRows.REVISION, revisionRow));
        rows.forEach((key, row) -> conditions.add(condition(key, row)));
        for (Change change : changes) {
            String text = codecs.change().encode(new ChangeRecord(change, writerId));
            RowKey key = ConfigRows.resource(change.kind(), change.name());
            mutations.add(
                    change.spec().isPresent() ? Mutation.put(key, text) : Mutation.delete(key));
            mutations.add(Mutation.put(ConfigRows.change(change.revision()), text));
            long outdated = change.revision().value() - KEPT_CHANGES;
            if (outdated > 0) {
                mutations.add(Mutation.delete(ConfigRows.change(new Revision(outdated))));
            }
            if (change.kind() == Kind.TEAMS) {
                RowKey limit = ConfigRows.limit(change.name());
                limitMutation(change, limit, rows.get(limit)).ifPresent(mutations::add);
            }
        }
        Revision last = changes.get(changes.size() - 1).revision();
        mutations.add(Mutation.put(ConfigRows.REVISION, last.toString()));
        write.addExtra(conditions, mutations);
        return new Transaction(conditions, mutations);
    }

    private Optional<Mutation> limitMutation(Change change, RowKey key, Optional<Row> row) {
        LimitRow present =
                row.map(r -> codecs.limit().decode(r.value()))
                        .orElseGet(() -> new LimitRow(0, Map.of()));
        if (change.spec().isEmpty()) {
            // Instances hold blocks until they return them, so the row stays after its team.
            return present.blocks().isEmpty()
                    ? Optional.of(Mutation.delete(key))
                    : Optional.of(Mutation.put(key, codecs.limit().encode(present.withLimit(0))));
        }
        int limit = ((TeamSpec) change.spec().get()).upperLimit();
        if (row.isPresent() && present.limit() == limit) {
            return Optional.empty();
        }
        return Optional.of(Mutation.put(key, codecs.limit().encode(present.withLimit(limit))));
    }

    private static Condition condition(RowKey key, Optional<Row> row) {
        return row.map(Condition::unchanged).orElseGet(() -> Condition.absent(key));
    }

    /**
     * Commits one transaction and determines its outcome.
     *
     * <p>If an answer was lost and the change record is absent, the same transaction is sent again.
     * The first one may still arrive: both require the revision row at one version, so at most one
     * of them takes effect.
     */
    private final class Commit {
        private final Transaction transaction;
        private final Revision first;
        private final String writerId;
        private int attemptsLeft = MAX_ATTEMPTS;
        private boolean answerLost;

        private Commit(Transaction transaction, List<Change> changes, String writerId) {
            this.transaction = transaction;
            this.first = changes.get(0).revision();
            this.writerId = writerId;
        }

        private CompletionStage<CommitResult> run() {
            attemptsLeft--;
            return table.commit(transaction)
                    .handle(
                            (result, failure) ->
                                    result == null ? onFailure(failure) : onResult(result))
                    .thenCompose(stage -> stage);
        }

        private CompletionStage<CommitResult> onResult(CommitResult result) {
            if (result.isCommitted() || !answerLost) {
                return CompletableFuture.completedFuture(result);
            }
            return readBack(result);
        }

        private CompletionStage<CommitResult> onFailure(Throwable failure) {
            QuetzalscaleException known = QuetzalscaleException.from(failure);
            if (known.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN) {
                answerLost = true;
            }
            if (!answerLost) {
                return CompletableFuture.failedFuture(known);
            }
            return readBack(null);
        }

        /**
         * Looks for this write's change record.
         *
         * @param conflict the result if the record is another write's, or null to send again if
         *     there is no record
         */
        private CompletionStage<CommitResult> readBack(CommitResult conflict) {
            return reader.change(first)
                    .handle(
                            (record, failure) -> {
                                if (failure != null) {
                                    return unknown(failure);
                                }
                                if (record.isEmpty() && conflict != null) {
                                    // The row versions required will not come back, so no
                                    // earlier attempt of the transaction can succeed either.
                                    return CompletableFuture.completedFuture(conflict);
                                }
                                if (record.isEmpty()) {
                                    return attemptsLeft > 0 ? run() : unknown(null);
                                }
                                boolean own = record.get().writerId().equals(writerId);
                                return CompletableFuture.completedFuture(
                                        own
                                                ? CommitResult.committed(0)
                                                : CommitResult.conflict(ConfigRows.REVISION));
                            })
                    .thenCompose(stage -> stage);
        }

        private CompletionStage<CommitResult> unknown(Throwable cause) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.STORE_OUTCOME_UNKNOWN,
                            "the write may have been accepted as revision " + first,
                            cause));
        }
    }
}
