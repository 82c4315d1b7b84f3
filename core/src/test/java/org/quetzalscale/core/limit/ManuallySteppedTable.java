package org.quetzalscale.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * One client's connection to a shared table. Calls are queued and take effect one at a time in
 * {@link #step}. Commits fail at random with an unknown result: the commit has then taken effect,
 * takes effect later, or never does.
 */
final class ManuallySteppedTable implements TransactionalTable {
    private static final double FAULT_PROBABILITY = 0.3;

    private final TransactionalTable sharedTable;
    private final Random random;
    private final Deque<Runnable> pendingCalls = new ArrayDeque<>();
    private final Deque<Transaction> delayedCommits;
    private boolean down;

    ManuallySteppedTable(
            TransactionalTable sharedTable, Random random, Deque<Transaction> delayedCommits) {
        this.sharedTable = sharedTable;
        this.random = random;
        this.delayedCommits = delayedCommits;
    }

    void setDown(boolean down) {
        this.down = down;
    }

    /** Runs the oldest queued call and completes its stage. */
    void step() {
        if (!pendingCalls.isEmpty()) {
            pendingCalls.poll().run();
        }
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return enqueue(() -> sharedTable.read(key));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return enqueue(() -> sharedTable.scan(prefix));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return enqueue(
                () -> {
                    if (random.nextDouble() >= FAULT_PROBABILITY) {
                        return sharedTable.commit(transaction);
                    }
                    int fault = random.nextInt(3);
                    if (fault == 0) {
                        sharedTable.commit(transaction);
                    } else if (fault == 1) {
                        delayedCommits.add(transaction);
                    }
                    return CompletableFuture.failedFuture(
                            new QuetzalscaleException(
                                    ErrorKind.STORE_OUTCOME_UNKNOWN, "the response was lost"));
                });
    }

    private <T> CompletionStage<T> enqueue(Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> response = new CompletableFuture<>();
        pendingCalls.add(
                () -> {
                    if (down) {
                        response.completeExceptionally(
                                new QuetzalscaleException(
                                        ErrorKind.STORE_UNAVAILABLE, "the table is down"));
                        return;
                    }
                    call.get()
                            .whenComplete(
                                    (value, failure) -> {
                                        if (failure == null) {
                                            response.complete(value);
                                        } else {
                                            response.completeExceptionally(failure);
                                        }
                                    });
                });
        return response;
    }
}
