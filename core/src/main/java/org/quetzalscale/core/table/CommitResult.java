package org.quetzalscale.core.table;

import java.util.Optional;

/**
 * How a transaction ended.
 *
 * @param version the table version of the commit, which its rows now carry; 0 on a conflict
 * @param conflict the first condition that failed, or empty if the transaction committed
 */
public record CommitResult(long version, Optional<RowKey> conflict) {
    /** A transaction that took effect. */
    public static CommitResult committed(long version) {
        return new CommitResult(version, Optional.empty());
    }

    /** A transaction that changed nothing because a condition failed. */
    public static CommitResult conflict(RowKey key) {
        return new CommitResult(0, Optional.of(key));
    }

    /** Whether the transaction took effect. */
    public boolean isCommitted() {
        return conflict.isEmpty();
    }
}
