package org.quetzalscale.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

class BlockHolderStopTest {
    private static final TeamId TEAM = new TeamId("a");
    private static final RowKey KEY = RowKey.of("limit", "a");

    private final InMemoryTable rows = new InMemoryTable();
    private final LimitRowText codec = new LimitRowText();
    private CompletableFuture<Void> scanGate = CompletableFuture.completedFuture(null);
    private final BlockHolder holder =
            new BlockHolder(
                    new InstanceId("i-1"),
                    new GatedTable(),
                    codec,
                    () -> 0,
                    name -> false,
                    team -> {},
                    task -> {},
                    0);

    /** Guards against a stop that leaves its block because a tick was in flight. */
    @Test
    void returnsTheBlockAlsoWhenATickIsInFlight() {
        rows.commit(
                Transaction.builder().insert(KEY, codec.encode(new LimitRow(4, Map.of()))).build());
        holder.tryAcquire(TEAM);
        holder.tick();
        assertThat(holder.tryAcquire(TEAM)).isTrue();
        holder.release(TEAM);

        scanGate = new CompletableFuture<>();
        holder.tick();
        CompletionStage<Void> stopped = holder.stop();
        assertThat(stopped.toCompletableFuture()).isNotDone();
        scanGate.complete(null);

        assertThat(stopped.toCompletableFuture()).isDone();
        Row row = rows.read(KEY).toCompletableFuture().join().orElseThrow();
        assertThat(codec.decode(row.value()).granted()).isZero();
    }

    /** A table whose scans wait for the gate. */
    private final class GatedTable implements TransactionalTable {
        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return rows.read(key);
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return scanGate.thenCompose(open -> rows.scan(prefix));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return rows.commit(transaction);
        }
    }
}
