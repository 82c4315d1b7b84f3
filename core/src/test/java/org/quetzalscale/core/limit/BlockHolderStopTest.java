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

/** Tests {@link BlockHolder#stop} while a tick is in flight. */
class BlockHolderStopTest {
    private static final TeamId TEAM = new TeamId("a");
    private static final RowKey KEY = RowKey.of("limit", "a");

    private final InMemoryTable rows = new InMemoryTable();
    private final TextLimitRowCodec codec = new TextLimitRowCodec();
    private CompletableFuture<Void> commitGate = CompletableFuture.completedFuture(null);
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

    /**
     * Guards against a stop that leaves units with the instance, because a tick that started before
     * the stop takes them afterwards.
     */
    @Test
    void returnsUnitsThatATickInFlightTakes() {
        rows.commit(
                Transaction.builder().insert(KEY, codec.encode(new LimitRow(4, Map.of()))).build());
        commitGate = new CompletableFuture<>();
        assertThat(holder.tryAcquire(TEAM)).isFalse();
        holder.tick();
        CompletionStage<Void> stopDone = holder.stop();
        assertThat(stopDone.toCompletableFuture()).isNotDone();
        commitGate.complete(null);
        assertThat(holder.held(TEAM)).isZero();

        assertThat(stopDone.toCompletableFuture()).isDone();
        Row row = rows.read(KEY).toCompletableFuture().join().orElseThrow();
        assertThat(codec.decode(row.value()).granted()).isZero();
    }

    /** A table whose commits take effect once {@code commitGate} completes. */
    private final class GatedTable implements TransactionalTable {
        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return rows.read(key);
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return rows.scan(prefix);
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return commitGate.thenCompose(ignored -> rows.commit(transaction));
        }
    }
}
