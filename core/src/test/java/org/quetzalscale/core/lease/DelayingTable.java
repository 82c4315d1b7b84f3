package org.quetzalscale.core.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * One client's connection to a shared table, which carries out selected transactions late or loses
 * their answers.
 */
final class DelayingTable implements TransactionalTable {
    private final TransactionalTable shared;
    private final Deque<Fault> faults = new ArrayDeque<>();
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private Runnable beforeCommit = () -> {};

    /** What happens to a transaction. */
    enum Fault {
        /** It is carried out, and its stage fails with STORE_OUTCOME_UNKNOWN. */
        ANSWER_LOST,
        /** Its stage fails with STORE_OUTCOME_UNKNOWN; {@link #carryOutPending} carries it out. */
        LATE,
        /** Its stage completes when {@link #carryOutPending} carries it out. */
        SLOW
    }

    DelayingTable(TransactionalTable shared) {
        this.shared = shared;
    }

    /** Applies the faults to the next transactions, one fault each. */
    void failCommits(Fault... next) {
        faults.addAll(List.of(next));
    }

    /** Runs an action before the next transaction reaches the table. */
    void beforeNextCommit(Runnable action) {
        beforeCommit = action;
    }

    /** Carries out the transactions that were withheld, in their order. */
    void carryOutPending() {
        while (!pending.isEmpty()) {
            pending.poll().run();
        }
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return shared.read(key);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return shared.scan(prefix);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        Runnable action = beforeCommit;
        beforeCommit = () -> {};
        action.run();
        if (faults.isEmpty()) {
            return shared.commit(transaction);
        }
        Fault fault = faults.poll();
        if (fault == Fault.SLOW) {
            CompletableFuture<CommitResult> reply = new CompletableFuture<>();
            pending.add(() -> shared.commit(transaction).thenAccept(reply::complete));
            return reply;
        }
        if (fault == Fault.LATE) {
            pending.add(() -> shared.commit(transaction));
        } else {
            shared.commit(transaction);
        }
        return CompletableFuture.failedFuture(
                new QuetzalscaleException(ErrorKind.STORE_OUTCOME_UNKNOWN, "no answer"));
    }
}
