package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * A row that only the owner of the fleet writes. Each write requires the owner's lease and the
 * version of the row that this owner knows: a write without an answer may be carried out seconds
 * later, and would otherwise overwrite a newer one.
 */
final class OwnedRow {
    /** Attempts of one write while others write the row; more than an owner has in flight. */
    private static final int MAX_ATTEMPTS = 5;

    private static final long UNKNOWN_VERSION = -1;

    private final TransactionalTable table;
    private final Condition fence;
    private final RowKey key;
    private long version = UNKNOWN_VERSION;

    OwnedRow(TransactionalTable table, Condition fence, RowKey key) {
        this.table = table;
        this.fence = fence;
        this.key = key;
    }

    /**
     * Writes the row. The stage completes with whether the owner still has its lease, and fails if
     * the store does not answer.
     *
     * @param mutations writes the row, and others with it. Requested again for each attempt, so
     *     that a repeated attempt does not store an older text than a write between them
     */
    CompletionStage<Boolean> write(Supplier<List<Mutation>> mutations) {
        CompletableFuture<Boolean> written = new CompletableFuture<>();
        attempt(mutations, 1, written);
        return written;
    }

    private void attempt(
            Supplier<List<Mutation>> mutations, int number, CompletableFuture<Boolean> written) {
        if (version != UNKNOWN_VERSION) {
            commit(mutations, number, written);
            return;
        }
        table.read(key)
                .whenComplete(
                        (row, failure) -> {
                            if (failure != null) {
                                written.completeExceptionally(failure);
                                return;
                            }
                            version = row.map(Row::version).orElse(Condition.ABSENT);
                            commit(mutations, number, written);
                        });
    }

    private void commit(
            Supplier<List<Mutation>> mutations, int number, CompletableFuture<Boolean> written) {
        Transaction.Builder transaction =
                Transaction.builder().require(fence).require(new Condition(key, version));
        mutations.get().forEach(transaction::add);
        table.commit(transaction.build())
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                version = UNKNOWN_VERSION;
                                written.completeExceptionally(failure);
                            } else {
                                answered(result, mutations, number, written);
                            }
                        });
    }

    private void answered(
            CommitResult result,
            Supplier<List<Mutation>> mutations,
            int number,
            CompletableFuture<Boolean> written) {
        if (result.isCommitted()) {
            version = result.version();
            written.complete(true);
        } else if (!result.conflict().equals(Optional.of(key))) {
            written.complete(false);
        } else if (number < MAX_ATTEMPTS) {
            version = UNKNOWN_VERSION;
            attempt(mutations, number + 1, written);
        } else {
            version = UNKNOWN_VERSION;
            written.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.STORE_UNAVAILABLE, "row " + key + " changes too often"));
        }
    }
}
