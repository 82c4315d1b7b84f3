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
 * Deletes intents that are older than a day. Each call reads one of 256 slices of one team's
 * intents, so that a scan stays small, and deletes at most 64 rows in one transaction. Not safe for
 * several threads.
 */
public final class ExpiredIntentCleaner {
    /** Age by the recorded wall-clock time above which an intent is deleted, in milliseconds. */
    public static final long MAX_AGE_MILLIS = 24 * 3_600_000L;

    private static final int SLICES = 256;
    private static final int MAX_ROWS = 64;

    private final TransactionalTable table;
    private final RowCodec<IntentRow> codec;
    private long next;

    /** A collector that starts with the first slice. */
    public ExpiredIntentCleaner(TransactionalTable table, RowCodec<IntentRow> codec) {
        this.table = table;
        this.codec = codec;
    }

    /**
     * Collects the next slice. The stage ends with the count of deleted rows; it fails as the
     * table's stages do, and rows that remain are found again in the next round.
     *
     * @param teams all teams, in a stable order
     * @param wallMillis wall-clock time in milliseconds since 1970
     */
    public CompletionStage<Integer> cleanNextSlice(List<TeamId> teams, long wallMillis) {
        if (teams.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        long slice = next++ % ((long) SLICES * teams.size());
        TeamId team = teams.get((int) (slice / SLICES));
        String prefix = "intent/" + team + "/" + String.format("%02x", slice % SLICES);
        return table.scan(prefix).thenCompose(rows -> delete(rows, wallMillis));
    }

    private CompletionStage<Integer> delete(List<Row> rows, long wallMillis) {
        List<Row> old =
                rows.stream()
                        .filter(row -> ageMillis(row, wallMillis) > MAX_AGE_MILLIS)
                        .limit(MAX_ROWS)
                        .toList();
        if (old.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        Transaction.Builder transaction = Transaction.builder();
        old.forEach(transaction::delete);
        return table.commit(transaction.build())
                .thenApply(result -> result.isCommitted() ? old.size() : 0);
    }

    private long ageMillis(Row row, long wallMillis) {
        return wallMillis - codec.decode(row.value()).startedWallMillis();
    }
}
