package org.quetzalscale.core.table;

import java.util.ArrayList;
import java.util.List;

/** Conditions and mutations that are applied atomically. */
public record Transaction(List<Condition> conditions, List<Mutation> mutations) {
    /** Copies the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        mutations = List.copyOf(mutations);
    }

    /** Starts an empty transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a transaction. */
    public static final class Builder {
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Mutation> mutations = new ArrayList<>();

        private Builder() {}

        /** Adds a condition. */
        public Builder require(Condition condition) {
            conditions.add(condition);
            return this;
        }

        /** Adds a mutation without a condition on its row. */
        public Builder add(Mutation mutation) {
            mutations.add(mutation);
            return this;
        }

        /** Writes a row without a condition on it. */
        public Builder put(RowKey key, String value) {
            mutations.add(Mutation.put(key, value));
            return this;
        }

        /** Inserts a row that must not exist. */
        public Builder insert(RowKey key, String value) {
            return require(Condition.absent(key)).put(key, value);
        }

        /** Replaces a row that must not have changed since it was read. */
        public Builder replace(Row read, String value) {
            return require(Condition.unchanged(read)).put(read.key(), value);
        }

        /** Deletes a row that must not have changed since it was read. */
        public Builder delete(Row read) {
            require(Condition.unchanged(read));
            mutations.add(Mutation.delete(read.key()));
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(conditions, mutations);
        }
    }
}
