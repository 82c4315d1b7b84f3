package org.quetzalscale.core.table;

import java.util.List;
import java.util.Optional;

/**
 * Result of a transaction.
 *
 * @param version the table version of the commit, which the written rows now have; 0 on a conflict
 * @param conflicts rows whose conditions failed, in the order of the conditions, with at least the
 *     first one; empty if the transaction committed
 */
public record CommitResult(long version, List<RowKey> conflicts) {
    /** Copies the list. */
    public CommitResult {
        conflicts = List.copyOf(conflicts);
    }

    /** Creates the result of a transaction that took effect. */
    public static CommitResult committed(long version) {
        return new CommitResult(version, List.of());
    }

    /** Creates the result of a transaction that changed nothing because a condition failed. */
    public static CommitResult conflict(RowKey key) {
        return conflicts(List.of(key));
    }

    /** Creates the result of a transaction that changed nothing because conditions failed. */
    public static CommitResult conflicts(List<RowKey> keys) {
        return new CommitResult(0, keys);
    }

    /** The row of the first condition that failed, or empty if the transaction committed. */
    public Optional<RowKey> conflict() {
        return conflicts.stream().findFirst();
    }

    /** Whether the transaction took effect. */
    public boolean isCommitted() {
        return conflicts.isEmpty();
    }
}
