package org.quetzalscale.core.retry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;

/** A conditional write of one row, to be committed in a batch. */
final class RowWrite {
    final Condition condition;
    final Mutation mutation;
    final Predicate<Optional<Row>> tookEffect;

    /** Completes when it is known whether the write took effect. */
    final CompletableFuture<Result> result = new CompletableFuture<>();

    int unknownResults;

    /**
     * Creates a write.
     *
     * @param tookEffect tests whether the row, as read back, shows that this write took effect
     */
    RowWrite(Condition condition, Mutation mutation, Predicate<Optional<Row>> tookEffect) {
        this.condition = condition;
        this.mutation = mutation;
        this.tookEffect = tookEffect;
    }

    RowKey key() {
        return mutation.key();
    }

    boolean conditionHolds(Optional<Row> current) {
        return current.map(Row::version).orElse(Condition.ABSENT) == condition.version();
    }

    /**
     * Result of a write.
     *
     * @param current the row that prevented the write; empty if the write took effect or there is
     *     no row
     */
    record Result(boolean isApplied, Optional<Row> current) {}
}
