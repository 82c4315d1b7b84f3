package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowSnapshot;

/**
 * Reads the accepted jobs of all partitions. Partitions that were read before an error are not read
 * again by the next call. Not thread-safe; one call at a time.
 */
final class JobRows {
    /**
     * Partitions that are read at once. On a weak instance, replies that arrive together would
     * delay the renewals of leases.
     */
    static final int MAX_CONCURRENT_READS = 4;

    private final FeedTable table;
    private final Map<String, RowSnapshot> snapshots = new HashMap<>();

    JobRows(FeedTable table) {
        this.table = table;
    }

    /**
     * Reads all rows, with the lowest version of the partitions' snapshots. The stage fails if a
     * partition cannot be read.
     *
     * <p>The row of the owner is read last, and is the first of the result or follows only jobs of
     * its own partition: an owner that finds a job which was accepted after the lease was taken
     * also finds that the lease was taken, before it can start the job.
     */
    CompletionStage<RowSnapshot> read() {
        Queue<String> missing = new ArrayDeque<>(FleetRows.JOB_PREFIXES);
        missing.removeAll(snapshots.keySet());
        List<CompletableFuture<Void>> readers = new ArrayList<>();
        for (int i = 0; i < MAX_CONCURRENT_READS; i++) {
            readers.add(readNext(missing).toCompletableFuture());
        }
        return CompletableFuture.allOf(readers.toArray(CompletableFuture[]::new))
                .thenCompose(ignored -> table.snapshot(FleetRows.SHARD_JOBS_PREFIX))
                .thenApply(this::takeAll);
    }

    /** Reads one partition after the other until none is missing. */
    private CompletionStage<Void> readNext(Queue<String> missing) {
        String prefix = missing.poll();
        if (prefix == null) {
            return CompletableFuture.completedFuture(null);
        }
        return table.snapshot(prefix)
                .thenCompose(
                        snapshot -> {
                            snapshots.put(prefix, snapshot);
                            return readNext(missing);
                        });
    }

    private RowSnapshot takeAll(RowSnapshot shard) {
        List<Row> rows = new ArrayList<>(shard.rows());
        long version = shard.version();
        for (RowSnapshot snapshot : snapshots.values()) {
            rows.addAll(snapshot.rows());
            version = Math.min(version, snapshot.version());
        }
        snapshots.clear();
        return new RowSnapshot(rows, version);
    }
}
