package org.quetzalscale.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/** A table whose next commits go wrong as told. */
final class ScriptedTable implements TransactionalTable {
    enum Outcome {
        /** Takes effect and is answered. */
        WORKS,
        /** Takes effect, but the answer is lost. */
        ANSWER_LOST,
        /** Does not take effect, and the answer is lost. */
        REQUEST_LOST,
        /** Does not take effect, and says so. */
        UNAVAILABLE,
        /** Takes effect just before the next commit; the answer is lost. */
        DELAYED
    }

    final InMemoryTable rows = new InMemoryTable();
    final Deque<Outcome> outcomes = new ArrayDeque<>();

    /** Runs before the next commit, as a write of another instance that got ahead. */
    Runnable beforeCommit = () -> {};

    boolean readsFail;
    private final Deque<Transaction> delayed = new ArrayDeque<>();

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return readsFail ? fail(ErrorKind.STORE_UNAVAILABLE) : rows.read(key);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return readsFail ? fail(ErrorKind.STORE_UNAVAILABLE) : rows.scan(prefix);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        Runnable first = beforeCommit;
        beforeCommit = () -> {};
        first.run();
        while (!delayed.isEmpty()) {
            rows.commit(delayed.poll());
        }
        Outcome outcome = outcomes.isEmpty() ? Outcome.WORKS : outcomes.poll();
        switch (outcome) {
            case WORKS:
                return rows.commit(transaction);
            case ANSWER_LOST:
                rows.commit(transaction);
                return fail(ErrorKind.STORE_OUTCOME_UNKNOWN);
            case DELAYED:
                delayed.add(transaction);
                return fail(ErrorKind.STORE_OUTCOME_UNKNOWN);
            case REQUEST_LOST:
                return fail(ErrorKind.STORE_OUTCOME_UNKNOWN);
            default:
                return fail(ErrorKind.STORE_UNAVAILABLE);
        }
    }

    private static <T> CompletionStage<T> fail(ErrorKind kind) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, "told to fail"));
    }
}
