package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Connection of one instance to a shared table. While it is paused, responses are withheld.
 * Selected conditions can be omitted from its transactions, to show that tests detect the missing
 * condition.
 */
final class PausableTable implements TransactionalTable {
    private final TransactionalTable shared;
    private final Predicate<Condition> omitted;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean paused;

    PausableTable(TransactionalTable shared, Predicate<Condition> omitted) {
        this.shared = shared;
        this.omitted = omitted;
    }

    boolean isPaused() {
        return paused;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> answers = List.copyOf(waiting);
        waiting.clear();
        answers.forEach(Runnable::run);
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return hold(shared.read(key));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return hold(shared.scan(prefix));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        List<Condition> conditions =
                transaction.conditions().stream().filter(omitted.negate()).toList();
        return hold(shared.commit(new Transaction(conditions, transaction.mutations())));
    }

    private <T> CompletionStage<T> hold(CompletionStage<T> stage) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        stage.whenComplete(
                (value, thrown) -> {
                    Runnable deliver =
                            () -> {
                                if (thrown == null) {
                                    answer.complete(value);
                                } else {
                                    answer.completeExceptionally(thrown);
                                }
                            };
                    if (paused) {
                        waiting.add(deliver);
                    } else {
                        deliver.run();
                    }
                });
        return answer;
    }
}
