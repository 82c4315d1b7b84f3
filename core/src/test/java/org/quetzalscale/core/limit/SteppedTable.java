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
 * One client's view of a shared table. Calls take effect when the test steps, and may fail; a
 * commit whose answer was lost may take effect before, after, or never.
 */
final class SteppedTable implements TransactionalTable {
    private static final double FAULT_SHARE = 0.3;

    private final TransactionalTable shared;
    private final Random random;
    private final Deque<Runnable> calls = new ArrayDeque<>();
    private final Deque<Transaction> late;
    private boolean down;

    SteppedTable(TransactionalTable shared, Random random, Deque<Transaction> late) {
        this.shared = shared;
        this.random = random;
        this.late = late;
    }

    void setDown(boolean down) {
        this.down = down;
    }

    /** Lets the oldest call take effect and answers it. */
    void step() {
        if (!calls.isEmpty()) {
            calls.poll().run();
        }
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return later(() -> shared.read(key));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return later(() -> shared.scan(prefix));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return later(
                () -> {
                    if (random.nextDouble() >= FAULT_SHARE) {
                        return shared.commit(transaction);
                    }
                    int fate = random.nextInt(3);
                    if (fate == 0) {
                        shared.commit(transaction);
                    } else if (fate == 1) {
                        late.add(transaction);
                    }
                    return CompletableFuture.failedFuture(
                            new QuetzalscaleException(
                                    ErrorKind.STORE_OUTCOME_UNKNOWN, "the answer was lost"));
                });
    }

    private <T> CompletionStage<T> later(Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        calls.add(
                () -> {
                    if (down) {
                        answer.completeExceptionally(
                                new QuetzalscaleException(
                                        ErrorKind.STORE_UNAVAILABLE, "the table is down"));
                        return;
                    }
                    call.get()
                            .whenComplete(
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
}
