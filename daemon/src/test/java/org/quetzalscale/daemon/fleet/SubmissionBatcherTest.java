package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.retry.OutageBackoff;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

/** Submissions of one instance to partitions that answer when the test lets them. */
final class SubmissionBatcherTest {
    private static final long DEADLINE_DELAY_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 900;

    private final VirtualLoop loop = new VirtualLoop();
    private final HeldCommits table = new HeldCommits();
    private final LoopClock clock =
            new LoopClock(loop.executor(Runnable::run), loop::nowMillis, loop::nowMillis);
    private final List<Long> sizes = new ArrayList<>();
    private final SubmissionBatcher batcher =
            new SubmissionBatcher(
                    table, clock, new CallRetryBudget(), new OutageBackoff(), sizes::add);

    /** A table whose transactions wait for the test. */
    private static final class HeldCommits extends ForwardingTable {
        private final List<Transaction> transactions = new ArrayList<>();
        private final List<CompletableFuture<CommitResult>> replies = new ArrayList<>();

        HeldCommits() {
            super(new InMemoryFeedTable());
        }

        /** Entries of the largest transaction; the store takes 100. */
        int largestTransaction;

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            CompletableFuture<CommitResult> reply = new CompletableFuture<>();
            transactions.add(transaction);
            int entries = transaction.conditions().size() + transaction.mutations().size();
            largestTransaction = Math.max(largestTransaction, entries);
            replies.add(reply);
            return reply;
        }

        int inFlight() {
            return replies.size();
        }

        /** Carries out the oldest transaction, and answers it. */
        void answer() {
            CompletableFuture<CommitResult> reply = replies.remove(0);
            super.commit(transactions.remove(0)).thenAccept(reply::complete);
        }

        /** Fails the oldest transaction. */
        void fail(ErrorKind kind, boolean carriedOut) {
            Transaction transaction = transactions.remove(0);
            if (carriedOut) {
                super.commit(transaction);
            }
            replies.remove(0).completeExceptionally(new QuetzalscaleException(kind, "scripted"));
        }
    }

    private CompletableFuture<Void> insert(String key) {
        long now = loop.nowMillis();
        return batcher.insert(
                        new RowKey("jobs/fleet-1/" + key),
                        "text",
                        now + RETRY_MILLIS,
                        now + DEADLINE_DELAY_MILLIS)
                .toCompletableFuture();
    }

    private boolean isRecorded(String key) {
        RowKey row = new RowKey("jobs/fleet-1/" + key);
        return table.read(row).toCompletableFuture().join().isPresent();
    }

    private static ErrorKind errorOf(CompletableFuture<?> call) {
        assertThat(call).isDone();
        return QuetzalscaleException.from(catchThrowable(call::join)).kind();
    }

    /**
     * Guards against submissions that wait while the store is fast, or flood it while it is slow.
     */
    @Nested
    class Grouping {
        @Test
        void sendsAtOnceUnlessATransactionIsInFlight() {
            insert("a");
            insert("b");
            insert("c");
            batcher.insert(new RowKey("jobs/fleet-2/d"), "text", 5_000, 5_000);
            assertThat(table.inFlight()).as("one in each partition").isEqualTo(2);
            table.answer();
            assertThat(sizes).containsExactly(1L, 1L, 2L);
        }

        @Test
        void keepsTheStoresLimits() {
            List<CompletableFuture<Void>> all =
                    IntStream.range(0, 102).mapToObj(i -> insert("job-" + i)).toList();
            while (table.inFlight() > 0) {
                table.answer();
            }
            assertThat(all).allMatch(CompletableFuture::isDone);
            assertThat(sizes).containsExactly(1L, 33L, 33L, 33L, 2L);
            assertThat(table.largestTransaction).isLessThanOrEqualTo(100);
        }

        @Test
        void boundsTheBytesOfATransaction() {
            insert("first");
            for (int i = 0; i < 4; i++) {
                batcher.insert(
                        new RowKey("jobs/fleet-1/large-" + i), "x".repeat(300_000), 5_000, 5_000);
            }
            table.answer();
            table.answer();
            assertThat(sizes).containsExactly(1L, 2L, 2L);
        }
    }

    /** Guards against jobs that are not recorded because of others in their transaction. */
    @Nested
    class AfterAConflict {
        /**
         * Guards against a job that starts although its cancellation was acknowledged (UNASKED).
         */
        @Test
        void refusesWhatWasCancelledAndRecordsTheOthers() {
            RowKey cancelled = new RowKey("jobs/fleet-1/b");
            table.commit(
                    Transaction.builder().put(FleetRows.cancellation(cancelled), "{}").build());
            table.answer();
            insert("a");
            CompletableFuture<Void> refused = insert("b");
            CompletableFuture<Void> accepted = insert("c");
            while (table.inFlight() > 0) {
                table.answer();
            }

            assertThat(accepted).isCompleted();
            assertThat(QuetzalscaleException.from(catchThrowable(refused::join)).kind())
                    .isEqualTo(ErrorKind.JOB_CANCELLED);
            assertThat(table.read(cancelled).toCompletableFuture().join()).isEmpty();
        }

        @Test
        void acceptsExistingRowsAndRecordsTheOthers() {
            insert("old-1");
            table.answer();
            insert("old-2");
            table.answer();
            insert("blocking");
            List<CompletableFuture<Void>> group =
                    List.of(insert("new-1"), insert("old-1"), insert("old-2"), insert("new-2"));
            table.answer();
            table.answer();
            assertThat(group.get(1)).isCompleted();
            assertThat(group.get(2)).isCompleted();
            assertThat(group.get(0)).isNotDone();
            table.answer();
            assertThat(group).allMatch(each -> each.isDone() && !each.isCompletedExceptionally());
            assertThat(List.of("new-1", "new-2")).allMatch(key -> isRecorded(key));
            assertThat(table.inFlight()).isZero();
        }

        @Test
        void acceptsARepetitionOfAJobThatIsBeingRecorded() {
            insert("blocking");
            CompletableFuture<Void> first = insert("a");
            CompletableFuture<Void> second = insert("a");
            table.answer();
            table.answer();
            table.answer();
            assertThat(first).isCompleted();
            assertThat(second).isCompleted();
        }
    }

    /** Guards against untrue answers to callers whose time is over. */
    @Nested
    class AtTheDeadline {
        @Test
        void refusesWhatWasNeverSentAndNeverSendsIt() {
            CompletableFuture<Void> sent = insert("sent");
            CompletableFuture<Void> waiting = insert("waiting");
            loop.runUntil(loop.nowMillis() + DEADLINE_DELAY_MILLIS);
            assertThat(errorOf(sent)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
            assertThat(errorOf(waiting)).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            table.answer();
            assertThat(table.inFlight()).isZero();
            assertThat(isRecorded("waiting")).isFalse();
        }

        @Test
        void keepsTheDeadlineOfEachCaller() {
            insert("blocking");
            long now = loop.nowMillis();
            CompletableFuture<Void> shortWait =
                    batcher.insert(new RowKey("jobs/fleet-1/a"), "text", now + 100, now + 100)
                            .toCompletableFuture();
            CompletableFuture<Void> longWait = insert("b");
            loop.runUntil(now + 100);
            assertThat(errorOf(shortWait)).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            table.answer();
            table.answer();
            assertThat(longWait).isCompleted();
            assertThat(isRecorded("a")).isFalse();
        }
    }

    /** Guards against jobs that are recorded twice, or refused although they are recorded. */
    @Nested
    class AfterAnError {
        @Test
        void repeatsATransactionWithoutAnAnswer() {
            CompletableFuture<Void> submission = insert("a");
            table.fail(ErrorKind.STORE_OUTCOME_UNKNOWN, true);
            loop.runUntil(loop.nowMillis() + 100);
            table.answer();
            assertThat(submission).isCompleted();
            assertThat(table.inFlight()).isZero();
        }

        @Test
        void sendsWaitingSubmissionsWithTheRepeatedOnes() {
            insert("a");
            table.fail(ErrorKind.STORE_UNAVAILABLE, false);
            insert("b");
            assertThat(table.inFlight()).isZero();
            loop.runUntil(loop.nowMillis() + 100);
            assertThat(sizes).containsExactly(1L, 2L);
        }

        @Test
        void refusesAtOnceWhenTheBudgetIsUsedUp() {
            int sent = 0;
            for (int i = 0; i < 10; i++) {
                CompletableFuture<Void> submission = insert("job-" + i);
                while (table.inFlight() > 0) {
                    sent++;
                    table.fail(ErrorKind.STORE_UNAVAILABLE, false);
                    loop.runUntil(loop.nowMillis() + 100);
                }
                assertThat(errorOf(submission)).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
            }
            assertThat(sent).isEqualTo(10 + CallRetryBudget.MIN_RETRIES);
        }
    }

    /** Guards against jobs that are refused because the store rejects another one (LOST). */
    @Test
    void recordsTheOthersOfARejectedTransaction() {
        insert("first");
        List<CompletableFuture<Void>> merged =
                List.of("a", "b", "c").stream().map(this::insert).toList();
        table.answer();
        table.fail(ErrorKind.STORE_REJECTED, false);
        table.answer();
        table.fail(ErrorKind.STORE_REJECTED, false);
        table.answer();

        assertThat(merged.get(0)).isCompleted();
        assertThat(errorOf(merged.get(1))).isEqualTo(ErrorKind.STORE_REJECTED);
        assertThat(merged.get(2)).isCompleted();
        assertThat(table.inFlight()).isZero();
        assertThat(List.of("a", "b", "c")).filteredOn(this::isRecorded).containsExactly("a", "c");
    }
}
