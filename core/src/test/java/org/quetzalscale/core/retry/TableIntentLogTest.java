package org.quetzalscale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.table.FaultyTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.TableFault;
import org.quetzalscale.core.time.VirtualTime;

/** Tests that requests with an idempotency key run at most once, also under faults of the table. */
class TableIntentLogTest {
    private static final TeamId TEAM = new TeamId("agro");
    private static final long DAY_MILLIS = 24 * 3_600_000L;

    private final VirtualTime time = new VirtualTime();
    private final FaultyTable table = new FaultyTable(time);
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final InMemoryCodec<IntentRow> codec = new InMemoryCodec<>();
    private final Set<String> goneInstances = new HashSet<>();
    private final TableIntentLog first = log("i-1", "p1", table);
    private final TableIntentLog second = log("i-2", "p2", table);

    private TableIntentLog log(String instance, String process, FaultyTable on) {
        return new TableIntentLog(
                new InstanceId(instance),
                process,
                on,
                objects,
                codec,
                time,
                time::nowMillis,
                goneInstances::contains,
                time::schedule);
    }

    private CompletableFuture<IntentResult> begin(
            TableIntentLog log, String key, String fingerprint) {
        return log.begin(TEAM, key, fingerprint, 10_000).toCompletableFuture();
    }

    private IntentResult await(CompletableFuture<IntentResult> stage) {
        time.advance(20_000);
        assertThat(stage).isDone();
        return stage.join();
    }

    private ErrorKind kind(CompletableFuture<?> stage) {
        time.advance(20_000);
        assertThat(stage).isDone();
        return QuetzalscaleException.from(catchThrowable(stage::join)).kind();
    }

    private static Intent intent(IntentResult result) {
        return ((IntentResult.Proceed) result).intent();
    }

    private static RecordedOutcome outcome(int bytes) {
        return new RecordedOutcome(200, List.of("a", "b"), new byte[bytes]);
    }

    private int rowCount() {
        return table.actual().scan("intent/").toCompletableFuture().join().size();
    }

    /** Invariant 7: a non-idempotent request runs at most once. */
    @Property(tries = 200, seed = "7")
    void letsAtMostOneAttemptProceed(@ForAll long seed) {
        FaultyTable faulty = new FaultyTable(time);
        faulty.failRandomly(seed, 0.4);
        faulty.setDelayMillis(new Random(seed).nextInt(40));
        List<CompletionStage<IntentResult>> results = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            results.add(log("i-" + i % 3, "p" + i, faulty).begin(TEAM, "k", "f", 2_000));
            time.advance(i % 2 * 30);
        }
        time.advance(600_000);
        long proceeding =
                results.stream()
                        .map(CompletionStage::toCompletableFuture)
                        .peek(result -> assertThat(result).isDone())
                        .filter(result -> !result.isCompletedExceptionally())
                        .filter(result -> result.join() instanceof IntentResult.Proceed)
                        .count();
        assertThat(proceeding).isLessThanOrEqualTo(1);
    }

    /**
     * Guards against a second run of a request whose first run completed, is running or was lost.
     */
    @Nested
    class Retries {
        @Test
        void returnTheRecordedOutcome() {
            Intent intent = intent(await(begin(first, "k", "f")));
            first.complete(intent, outcome(10));
            IntentResult again = await(begin(second, "k", "f"));
            assertThat(((IntentResult.Completed) again).outcome().status()).isEqualTo(200);
        }

        @Test
        void returnALargeBodyFromAnObject() {
            Intent intent = intent(await(begin(first, "k", "f")));
            first.complete(intent, outcome(TableIntentLog.MAX_ROW_BODY_BYTES + 1));
            IntentResult again = await(begin(second, "k", "f"));
            assertThat(((IntentResult.Completed) again).outcome().body())
                    .hasSize(TableIntentLog.MAX_ROW_BODY_BYTES + 1);
            assertThat(objects.list("intent/").toCompletableFuture().join()).hasSize(1);
        }

        @Test
        void waitForARunningAttempt() {
            Intent intent = intent(await(begin(first, "k", "f")));
            CompletableFuture<IntentResult> waiting = begin(second, "k", "f");
            time.advance(5_000);
            assertThat(waiting).isNotDone();
            first.complete(intent, outcome(1));
            assertThat(await(waiting)).isInstanceOf(IntentResult.Completed.class);
        }

        @Test
        void failAtOnceAsUnknownIfTheHolderIsGone() {
            await(begin(first, "k", "f"));
            goneInstances.add("i-1");
            CompletableFuture<IntentResult> again = begin(second, "k", "f");
            time.advance(100);
            assertThat(again.join()).isInstanceOf(IntentResult.Unknown.class);
        }

        @Test
        void failAtOnceAsUnknownIfTheProcessWasRestarted() {
            await(begin(first, "k", "f"));
            CompletableFuture<IntentResult> again = begin(log("i-1", "p9", table), "k", "f");
            time.advance(100);
            assertThat(again.join()).isInstanceOf(IntentResult.Unknown.class);
        }

        @Test
        void areRejectedWithADifferentRequest() {
            await(begin(first, "k", "f"));
            assertThat(kind(begin(second, "k", "g"))).isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
        }

        @Test
        void proceedAfterAWithdrawal() {
            Intent intent = intent(await(begin(first, "k", "f")));
            CompletableFuture<IntentResult> again = begin(second, "k", "f");
            first.withdraw(intent);
            assertThat(await(again)).isInstanceOf(IntentResult.Proceed.class);
        }
    }

    /** Guards against one transaction per row, and against batches that fail as a whole. */
    @Nested
    class Batches {
        @Test
        void doNotFailForOneConflictingKey() {
            await(begin(first, "k1", "f"));
            CompletableFuture<IntentResult> other = begin(second, "k0", "f");
            CompletableFuture<IntentResult> reused = begin(second, "k1", "g");
            CompletableFuture<IntentResult> last = begin(second, "k2", "f");
            assertThat(kind(reused)).isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
            assertThat(other.join()).isInstanceOf(IntentResult.Proceed.class);
            assertThat(last.join()).isInstanceOf(IntentResult.Proceed.class);
        }

        @Test
        void combineManyRowsInOneTransaction() {
            long before = version();
            for (int i = 0; i < 130; i++) {
                begin(first, "k" + i, "f");
            }
            time.advance(10);
            assertThat(rowCount()).isEqualTo(130);
            assertThat(version() - before).isLessThanOrEqualTo(3);
        }

        private long version() {
            return table.actual().scan("").toCompletableFuture().join().stream()
                    .mapToLong(Row::version)
                    .max()
                    .orElse(0);
        }
    }

    /** Guards against a request that runs without a recorded intent. */
    @Nested
    class Faults {
        @Test
        void rejectTheRequestWhileTheTableIsDown() {
            table.setDown(true);
            assertThat(kind(begin(first, "k", "f"))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        }

        @Test
        void readBackAnInsertWhoseResponseWasLost() {
            table.failCommits(TableFault.LOSE_ANSWER);
            assertThat(await(begin(first, "k", "f"))).isInstanceOf(IntentResult.Proceed.class);
        }

        @Test
        void repeatAnInsertThatWasLost() {
            table.failCommits(TableFault.LOSE_REQUEST);
            assertThat(await(begin(first, "k", "f"))).isInstanceOf(IntentResult.Proceed.class);
        }

        @Test
        void recordAnOutcomeOnceWhenTheResponseWasLost() {
            Intent intent = intent(await(begin(first, "k", "f")));
            table.failCommits(TableFault.LOSE_ANSWER);
            CompletableFuture<Void> done = first.complete(intent, outcome(1)).toCompletableFuture();
            time.advance(1_000);
            assertThat(done).isCompleted();
            assertThat(first.complete(intent, outcome(1)).toCompletableFuture()).isCompleted();
        }
    }

    /** Guards against unlimited growth of the table, and against the deletion of recent intents. */
    @Test
    void deletesExpiredIntents() {
        await(begin(first, "old", "f"));
        time.advance(DAY_MILLIS);
        await(begin(first, "young", "f"));
        ExpiredIntentCleaner cleaner = new ExpiredIntentCleaner(table, codec);
        int deleted = 0;
        for (int i = 0; i < 256; i++) {
            deleted +=
                    cleaner.cleanNextSlice(List.of(TEAM), time.nowMillis())
                            .toCompletableFuture()
                            .join();
        }
        assertThat(deleted).isEqualTo(1);
        assertThat(rowCount()).isEqualTo(1);
    }
}
