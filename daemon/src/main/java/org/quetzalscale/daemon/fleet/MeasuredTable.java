package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;

/** Records the duration and outcome of the calls to a table. */
public final class MeasuredTable implements FeedTable {
    private static final String OK = "ok";

    private final FeedTable table;
    private final FleetMetrics metrics;
    private final TimeSource time;

    /** Wraps a table. */
    public MeasuredTable(FeedTable table, FleetMetrics metrics, TimeSource time) {
        this.table = table;
        this.metrics = metrics;
        this.time = time;
    }

    @Override
    public CompletionStage<Optional<Row>> read(RowKey key) {
        return measured("read", table.read(key));
    }

    @Override
    public CompletionStage<List<Row>> scan(String prefix) {
        return measured("scan", table.scan(prefix));
    }

    @Override
    public CompletionStage<RowSnapshot> snapshot(String prefix) {
        return measured("scan", table.snapshot(prefix));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        metrics.transaction(transaction.mutations().get(0).key().partition());
        return measured("commit", table.commit(transaction));
    }

    @Override
    public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
        return measured("feed", table.changesAfter(name, version, waitMillis));
    }

    @Override
    public TableLimits limits() {
        return table.limits();
    }

    private <T> CompletionStage<T> measured(String call, CompletionStage<T> stage) {
        long startMillis = time.nowMillis();
        return stage.whenComplete(
                (value, failure) ->
                        metrics.storeCall(call, outcome(failure), time.nowMillis() - startMillis));
    }

    private static String outcome(Throwable failure) {
        return failure == null
                ? OK
                : QuetzalscaleException.from(failure).kind().name().toLowerCase(Locale.ROOT);
    }
}
