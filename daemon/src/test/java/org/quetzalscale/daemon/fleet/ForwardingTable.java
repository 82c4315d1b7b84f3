package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;

/** Forwards all calls, for tests that change some of them. */
class ForwardingTable implements FeedTable {
    private final FeedTable table;

    ForwardingTable(FeedTable table) {
        this.table = table;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return table.read(key);
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return table.scan(prefix);
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return table.snapshot(prefix);
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return table.commit(transaction);
    }

    @Override
    public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
        return table.changesAfter(name, version, waitMillis);
    }
}
