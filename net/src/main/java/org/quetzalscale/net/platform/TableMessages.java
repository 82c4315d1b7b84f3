package org.quetzalscale.net.platform;

import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/** Messages of the transactional table and the object store. */
public final class TableMessages {
    private TableMessages() {}

    /** One row. */
    public record RowMessage(String key, long version, String value) {
        /** Creates the message for a row. */
        public static RowMessage of(Row row) {
            return new RowMessage(row.key().value(), row.version(), row.value());
        }

        /** Converts the message to a row. */
        public Row toRow() {
            return new Row(new RowKey(key), version, value);
        }
    }

    /** Rows in key order. */
    public record Rows(List<RowMessage> rows) {
        /** Copies the list; an absent list is read as empty. */
        public Rows {
            rows = rows == null ? List.of() : List.copyOf(rows);
        }
    }

    /**
     * A condition of a transaction on the version of one row.
     *
     * @param version the version that the row must have; 0 if it must not exist
     */
    public record ConditionMessage(String key, long version) {}

    /**
     * A write or deletion of one row.
     *
     * @param value the new text, or null to delete the row
     */
    public record MutationMessage(String key, String value) {}

    /** A transaction to commit. */
    public record Commit(List<ConditionMessage> conditions, List<MutationMessage> mutations) {
        /** Copies the lists; an absent list is read as empty. */
        public Commit {
            conditions = conditions == null ? List.of() : List.copyOf(conditions);
            mutations = mutations == null ? List.of() : List.copyOf(mutations);
        }

        /** Creates the message for a transaction. */
        public static Commit of(Transaction transaction) {
            return new Commit(
                    transaction.conditions().stream()
                            .map(c -> new ConditionMessage(c.key().value(), c.version()))
                            .toList(),
                    transaction.mutations().stream()
                            .map(m -> new MutationMessage(m.key().value(), m.value().orElse(null)))
                            .toList());
        }

        /** Converts the message to a transaction. */
        public Transaction toTransaction() {
            return new Transaction(
                    conditions.stream()
                            .map(c -> new Condition(new RowKey(c.key()), c.version()))
                            .toList(),
                    mutations.stream()
                            .map(
                                    m ->
                                            new Mutation(
                                                    new RowKey(m.key()),
                                                    Optional.ofNullable(m.value())))
                            .toList());
        }
    }

    /**
     * The response to a transaction.
     *
     * @param version the table version of the commit; 0 on a conflict
     * @param conflict key of the first condition that failed, or null if it committed
     */
    public record CommitAnswer(long version, String conflict) {
        /** Creates the message for a commit result. */
        public static CommitAnswer of(CommitResult result) {
            return new CommitAnswer(
                    result.version(), result.conflict().map(RowKey::value).orElse(null));
        }

        /** Converts the message to a commit result. */
        public CommitResult toResult() {
            return conflict == null
                    ? CommitResult.committed(version)
                    : CommitResult.conflict(new RowKey(conflict));
        }
    }

    /** The version of the latest commit; 0 before the first one. */
    public record TableVersion(long version) {}

    /** Names of objects in ascending order. */
    public record ObjectNames(List<String> names) {
        /** Copies the list; an absent list is read as empty. */
        public ObjectNames {
            names = names == null ? List.of() : List.copyOf(names);
        }
    }
}
