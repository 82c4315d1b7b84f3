package org.quetzalscale.core.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableFault;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.VirtualTime;

/** A faulty table that can run an action immediately before a commit. */
final class ScriptedTable implements TransactionalTable {
    final FaultyTable faulty = new FaultyTable(new VirtualTime());
    Runnable beforeCommit = () -> {};
    private boolean delayNext;

    /** Loses the answer to the next commit, which takes effect right before the one after it. */
    void delayNextCommit() {
        faulty.failCommits(TableFault.LOSE_REQUEST);
        delayNext = true;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return faulty.read(key);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return faulty.scan(prefix);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        Runnable first = beforeCommit;
        beforeCommit = () -> {};
        first.run();
        if (delayNext) {
            delayNext = false;
            beforeCommit = () -> faulty.actual().commit(transaction);
        }
        return faulty.commit(transaction);
    }
}
