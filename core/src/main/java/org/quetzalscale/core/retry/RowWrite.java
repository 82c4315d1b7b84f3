package org.quetzalscale.core.retry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;

/** A conditional write of one row that waits for its batch. */
final class RowWrite {
    final Condition condition;
    final Mutation mutation;
    final Predicate<Optional<Row>> tookEffect;

    /** Ends empty if the write took effect, else with the row that prevented it, if any. */
    final CompletableFuture<Result> result = new CompletableFuture<>();

    int doubts;

    /**
     * A write.
     *
     * @param tookEffect whether the row, read back, shows that this write took effect
     */
    RowWrite(Condition condition, Mutation mutation, Predicate<Optional<Row>> tookEffect) {
        this.condition = condition;
        this.mutation = mutation;
        this.tookEffect = tookEffect;
    }

    RowKey key() {
        return mutation.key();
    }

    boolean isStillPossible(Optional<Row> present) {
        return present.map(Row::version).orElse(Condition.ABSENT) == condition.version();
    }

    /**
     * How the write ended.
     *
     * @param present the row that prevented it; empty if it took effect or the row is absent
     */
    record Result(boolean isDone, Optional<Row> present) {}
}
