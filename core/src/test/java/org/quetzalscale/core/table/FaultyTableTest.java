package org.quetzalscale.core.table;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.time.VirtualTime;

class FaultyTableTest {
    private static final RowKey KEY = RowKey.of("counter");
    private static final int INCREMENTS = 50;
    private static final int MAX_ATTEMPTS = 1000;

    private final VirtualTime time = new VirtualTime();
    private final FaultyTable table = new FaultyTable(time);

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    @Test
    void showsTheEffectOfADelayedCommitBeforeItsResponse() {
        table.setDelayMillis(1000);
        CompletionStage<CommitResult> commit =
                table.commit(Transaction.builder().insert(KEY, "1").build());
        time.advance(500);
        assertThat(await(table.actual().read(KEY))).isPresent();
        assertThat(commit.toCompletableFuture()).isNotDone();
        time.advance(500);
        assertThat(await(commit).isCommitted()).isTrue();
    }

    @Test
    void returnsOldRowsWhenStale() {
        await(table.commit(Transaction.builder().insert(KEY, "1").build()));
        time.advance(100);
        Row first = await(table.read(KEY)).orElseThrow();
        await(table.commit(Transaction.builder().replace(first, "2").build()));
        table.setStaleMillis(50);
        assertThat(await(table.read(KEY)).map(Row::value)).contains("1");
        time.advance(50);
        assertThat(await(table.read(KEY)).map(Row::value)).contains("2");
    }

    /** Guards against committing an increment twice after its response was lost. */
    @Property(tries = 50, seed = "20261204")
    void countsEachIncrementOnceDespiteLostResponses(@ForAll long seed) {
        FaultyTable faulty = new FaultyTable(time);
        faulty.failRandomly(seed, 0.5);
        int attempts = 0;
        for (int i = 1; i <= INCREMENTS; i++) {
            while (!isAtLeast(faulty, i) && attempts++ < MAX_ATTEMPTS) {
                increment(faulty, i - 1);
            }
        }
        assertThat(await(faulty.actual().read(KEY)).map(Row::value))
                .contains(String.valueOf(INCREMENTS));
    }

    private static boolean isAtLeast(FaultyTable faulty, int count) {
        return await(faulty.actual().read(KEY))
                .filter(row -> Integer.parseInt(row.value()) >= count)
                .isPresent();
    }

    private static void increment(FaultyTable faulty, int from) {
        try {
            Optional<Row> row = await(faulty.read(KEY));
            int present = row.map(Row::value).map(Integer::parseInt).orElse(0);
            if (present != from) {
                return;
            }
            String next = String.valueOf(from + 1);
            Transaction.Builder transaction = Transaction.builder();
            row.ifPresentOrElse(
                    read -> transaction.replace(read, next), () -> transaction.insert(KEY, next));
            await(faulty.commit(transaction.build()));
        } catch (RuntimeException e) {
            assertThat(QuetzalscaleException.from(e).kind())
                    .isIn(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_OUTCOME_UNKNOWN);
        }
    }
}
