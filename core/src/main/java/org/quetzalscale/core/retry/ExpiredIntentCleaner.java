package org.quetzalscale.core.retry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Deletes intents that are older than a day. Each call scans one of 256 slices of a team's intents,
 * divided by the first byte of the key's hash, to keep scans small. It deletes at most 64 rows in
 * one transaction. Not thread-safe.
 */
public final class ExpiredIntentCleaner {
    /** Age above which an intent is deleted, by its recorded wall-clock time, in milliseconds. */
    public static final long MAX_AGE_MILLIS = 24 * 3_600_000L;

    private static final int SLICES = 256;
    private static final int MAX_ROWS = 64;

    private final TransactionalTable table;
    private final RowCodec<IntentRow> codec;
    private long nextSlice;

    /** Creates a cleaner that starts with the first slice. */
    public ExpiredIntentCleaner(TransactionalTable table, RowCodec<IntentRow> codec) {
        this.table = table;
        this.codec = codec;
    }

    /**
     * Deletes the expired intents of the next slice. The stage completes with the number of deleted
     * rows, or fails if a call of the table fails. Rows that remain are deleted in the next round.
     *
     * @param teams all teams, in the same order at each call
     * @param wallMillis wall-clock time in milliseconds since 1970
     */
    public CompletionStage<Integer> cleanNextSlice(List<TeamId> teams, long wallMillis) {
        if (teams.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        long slice = nextSlice++ % ((long) SLICES * teams.size());
        TeamId team = teams.get((int) (slice / SLICES));
        String prefix = "intent/" + team + "/" + String.format("%02x", slice % SLICES);
        return table.scan(prefix).thenCompose(rows -> delete(rows, wallMillis));
    }

    private CompletionStage<Integer> delete(List<Row> rows, long wallMillis) {
        List<Row> expired =
                rows.stream()
                        .filter(row -> ageMillis(row, wallMillis) > MAX_AGE_MILLIS)
                        .limit(MAX_ROWS)
                        .toList();
        if (expired.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        Transaction.Builder transaction = Transaction.builder();
        expired.forEach(transaction::delete);
        return table.commit(transaction.build())
                .thenApply(result -> result.isCommitted() ? expired.size() : 0);
    }

    private long ageMillis(Row row, long wallMillis) {
        return wallMillis - codec.decode(row.value()).startedWallMillis();
    }
}
