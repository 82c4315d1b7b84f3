package org.quetzalscale.core.maintenance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/** One runner's client of a shared table; calls run when the test steps, and may fail. */
final class UnreliableTable implements TransactionalTable {
    private static final double LOST_FRACTION = 0.15;

    private final TransactionalTable shared;
    private final Function<Transaction, CommitResult> commit;
    private final Random random;
    private final Deque<Transaction> delayed;
    private final Deque<Runnable> calls = new ArrayDeque<>();
    boolean down;
    boolean reliable;

    UnreliableTable(
            TransactionalTable shared,
            Function<Transaction, CommitResult> commit,
            Random random,
            Deque<Transaction> delayed) {
        this.shared = shared;
        this.commit = commit;
        this.random = random;
        this.delayed = delayed;
    }

    /** Runs the oldest pending call; returns false if there is none. */
    boolean step() {
        if (calls.isEmpty()) {
            return false;
        }
        calls.poll().run();
        return true;
    }

    /**
     * Simulates a crash: pending calls are dropped, while transactions already sent may still
     * commit late.
     */
    void crash() {
        calls.clear();
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return enqueue(() -> shared.read(key));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return enqueue(() -> shared.scan(prefix));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return enqueue(
                () -> {
                    if (reliable || random.nextDouble() >= LOST_FRACTION) {
                        return CompletableFuture.completedFuture(commit.apply(transaction));
                    }
                    int outcome = random.nextInt(3);
                    if (outcome == 0) {
                        commit.apply(transaction);
                    } else if (outcome == 1) {
                        delayed.add(transaction);
                    }
                    return fail(ErrorKind.STORE_OUTCOME_UNKNOWN);
                });
    }

    private <T> CompletionStage<T> enqueue(Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        calls.add(
                () -> {
                    CompletionStage<T> result =
                            down ? fail(ErrorKind.STORE_UNAVAILABLE) : call.get();
                    result.whenComplete(
                            (value, failure) -> {
                                if (failure == null) {
                                    answer.complete(value);
                                } else {
                                    answer.completeExceptionally(failure);
                                }
                            });
                });
        return answer;
    }

    private static <T> CompletionStage<T> fail(ErrorKind kind) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, "told to fail"));
    }
}
