package org.quetzalscale.core.table;

import java.util.Optional;

/**
 * Result of a transaction.
 *
 * @param version the table version of the commit, which the written rows now have; 0 on a conflict
 * @param conflict the row of the first condition that failed, or empty if the transaction committed
 */
public record CommitResult(long version, Optional<RowKey> conflict) {
    /** Creates the result of a transaction that took effect. */
    public static CommitResult committed(long version) {
        return new CommitResult(version, Optional.empty());
    }

    /** Creates the result of a transaction that changed nothing because a condition failed. */
    public static CommitResult conflict(RowKey key) {
        return new CommitResult(0, Optional.of(key));
    }

    /** Whether the transaction took effect. */
    public boolean isCommitted() {
        return conflict.isEmpty();
    }
}
