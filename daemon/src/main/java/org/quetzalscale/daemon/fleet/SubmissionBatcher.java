package org.quetzalscale.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.retry.OutageBackoff;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.tinylog.Logger;

/**
 * Inserts rows of jobs with one transaction in flight per partition. Submissions that arrive
 * meanwhile are sent together in the next one, so that a slow partition gets few transactions. A
 * submission to a partition without a transaction in flight is sent at once.
 *
 * <p>A row that exists is the same job: its submission is accepted, and the others of the
 * transaction are sent again. All methods run on one event loop.
 */
final class SubmissionBatcher {
    /** Each submission has two conditions and a write, and a transaction takes 100 entries. */
    static final int MAX_SUBMISSIONS = 33;

    /** A transaction takes at most 1 MB. */
    private static final long MAX_BYTES = 1_000_000;

    /** Size of an entry without its texts. */
    private static final int ENTRY_BYTES = 100;

    private final TransactionalTable table;
    private final LoopClock clock;
    private final CallRetryBudget budget;
    private final OutageBackoff backoff;
    private final LongConsumer onTransaction;
    private final Map<String, Partition> partitions = new HashMap<>();

    /** A submission until its caller is answered. */
    private static final class Submission {
        final RowKey key;
        final RowKey cancellation;
        final String value;
        final long retryUntilMillis;
        final CompletableFuture<Void> result = new CompletableFuture<>();
        int calls;
        boolean inFlight;
        boolean maybeCommitted;

        /** Whether it is sent without others, since the store rejected a transaction with it. */
        boolean alone;

        Submission(RowKey key, String value, long retryUntilMillis) {
            this.key = key;
            this.cancellation = FleetRows.cancellation(key);
            this.value = value;
            this.retryUntilMillis = retryUntilMillis;
        }

        /**
         * At most the bytes in a transaction: three entries with a key, and the value in Base64.
         */
        long bytes() {
            long keyBytes = cancellation.value().getBytes(StandardCharsets.UTF_8).length;
            long valueBytes = value.getBytes(StandardCharsets.UTF_8).length;
            return 3 * (ENTRY_BYTES + keyBytes) + (valueBytes * 4 + 2) / 3;
        }
    }

    /** The submissions of one partition. */
    private static final class Partition {
        final String name;
        final Deque<Submission> waiting = new ArrayDeque<>();

        /** Whether a transaction is in flight, or the pause before the next attempt lasts. */
        boolean busy;

        Partition(String name) {
            this.name = name;
        }
    }

    /**
     * Creates a batcher.
     *
     * @param budget permits the repeated transactions
     * @param onTransaction receives the number of submissions of each transaction
     */
    SubmissionBatcher(
            TransactionalTable table,
            LoopClock clock,
            CallRetryBudget budget,
            OutageBackoff backoff,
            LongConsumer onTransaction) {
        this.table = table;
        this.clock = clock;
        this.budget = budget;
        this.backoff = backoff;
        this.onTransaction = onTransaction;
    }

    /**
     * Inserts a row. The stage fails with STORE_UNAVAILABLE if the row was not recorded and will
     * not be, or with STORE_OUTCOME_UNKNOWN if it may have been.
     *
     * @param retryUntilMillis when attempts end, on the monotonic clock
     * @param answerByMillis when the stage completes at the latest
     */
    CompletionStage<Void> insert(
            RowKey key, String value, long retryUntilMillis, long answerByMillis) {
        Submission submission = new Submission(key, value, retryUntilMillis);
        Partition partition = partitions.computeIfAbsent(key.partition(), Partition::new);
        partition.waiting.add(submission);
        clock.after(answerByMillis - clock.nowMillis(), () -> expire(partition, submission));
        sendWaiting(partition);
        return submission.result;
    }

    /** Answers a submission whose time is over. One that waits is never sent. */
    private static void expire(Partition partition, Submission submission) {
        if (submission.result.isDone()) {
            return;
        }
        partition.waiting.remove(submission);
        boolean unknown = submission.inFlight || submission.maybeCommitted;
        submission.result.completeExceptionally(
                new QuetzalscaleException(
                        unknown ? ErrorKind.STORE_OUTCOME_UNKNOWN : ErrorKind.STORE_UNAVAILABLE,
                        unknown
                                ? "the store did not respond before the caller's deadline"
                                : "the store is too slow to record the job in time"));
    }

    private void sendWaiting(Partition partition) {
        if (partition.busy || partition.waiting.isEmpty()) {
            return;
        }
        List<Submission> batch = takeBatch(partition);
        Transaction.Builder transaction = Transaction.builder();
        for (Submission submission : batch) {
            submission.calls++;
            submission.inFlight = true;
            transaction
                    .insert(submission.key, submission.value)
                    .require(new Condition(submission.cancellation, Condition.ABSENT));
        }
        partition.busy = true;
        onTransaction.accept(batch.size());
        if (batch.size() > 1) {
            Logger.info(
                    "event=submissions_merged part=\"{}\" count={}", partition.name, batch.size());
        }
        table.commit(transaction.build())
                .whenComplete((result, failure) -> onAnswer(partition, batch, result, failure));
    }

    /** Removes the next submissions. A second one of the same job follows in the next batch. */
    private static List<Submission> takeBatch(Partition partition) {
        List<Submission> batch = new ArrayList<>();
        Set<RowKey> keys = new HashSet<>();
        long bytes = 0;
        Iterator<Submission> waiting = partition.waiting.iterator();
        while (waiting.hasNext() && batch.size() < MAX_SUBMISSIONS) {
            Submission next = waiting.next();
            bytes += next.bytes();
            boolean full = bytes > MAX_BYTES || next.alone;
            if (!batch.isEmpty() && (full || batch.get(0).alone)) {
                break;
            }
            if (keys.add(next.key)) {
                batch.add(next);
                waiting.remove();
            }
        }
        return batch;
    }

    private void onAnswer(
            Partition partition, List<Submission> batch, CommitResult result, Throwable failure) {
        batch.forEach(submission -> submission.inFlight = false);
        partition.busy = false;
        if (failure != null) {
            QuetzalscaleException error = QuetzalscaleException.from(failure);
            if (error.kind() == ErrorKind.STORE_REJECTED) {
                onRejection(partition, batch, error);
            } else {
                backoff.recordFailure(clock.nowMillis());
                onFailure(partition, batch, error);
            }
        } else {
            backoff.recordSuccess();
            onResult(partition, batch, result);
        }
        sendWaiting(partition);
    }

    /**
     * Accepts what is recorded now, refuses what was cancelled before, and keeps the others of a
     * conflict for the next batch.
     */
    private static void onResult(Partition partition, List<Submission> batch, CommitResult result) {
        List<Submission> unsaved = new ArrayList<>();
        for (Submission submission : batch) {
            if (result.isCommitted() || result.conflicts().contains(submission.key)) {
                submission.result.complete(null);
            } else if (result.conflicts().contains(submission.cancellation)) {
                submission.result.completeExceptionally(cancelledBefore());
            } else {
                submission.calls--;
                unsaved.add(submission);
            }
        }
        putBack(partition, unsaved);
    }

    private static QuetzalscaleException cancelledBefore() {
        return new QuetzalscaleException(
                ErrorKind.JOB_CANCELLED,
                "the job was cancelled before it was recorded, and never runs");
    }

    /**
     * Sends the submissions of a rejected transaction one at a time, so that only those fail that
     * the store rejects.
     */
    private static void onRejection(
            Partition partition, List<Submission> batch, QuetzalscaleException error) {
        if (batch.size() == 1) {
            fail(batch, error);
            return;
        }
        batch.forEach(submission -> submission.alone = true);
        putBack(partition, batch);
    }

    private void onFailure(
            Partition partition, List<Submission> batch, QuetzalscaleException error) {
        long now = clock.nowMillis();
        List<Submission> again = new ArrayList<>();
        List<Submission> failed = new ArrayList<>();
        for (Submission submission : batch) {
            // Errors of any other kind do not tell what the store has done.
            submission.maybeCommitted |= error.kind() != ErrorKind.STORE_UNAVAILABLE;
            boolean mayRetry =
                    submission.calls < JobGateway.MAX_ATTEMPTS
                            && now + JobGateway.RETRY_DELAY_MILLIS < submission.retryUntilMillis
                            && !submission.result.isDone();
            (mayRetry ? again : failed).add(submission);
        }
        if (!again.isEmpty() && !budget.tryRetry(now)) {
            failed.addAll(again);
            again.clear();
        }
        fail(failed, error);
        if (!again.isEmpty()) {
            partition.busy = true;
            putBack(partition, again);
            clock.after(JobGateway.RETRY_DELAY_MILLIS, () -> endPause(partition));
        }
    }

    private void endPause(Partition partition) {
        partition.busy = false;
        sendWaiting(partition);
    }

    private static void fail(List<Submission> failed, QuetzalscaleException error) {
        if (failed.isEmpty()) {
            return;
        }
        Logger.warn(
                "event=store_call_failed submissions={} cause=\"{}\"",
                failed.size(),
                error.getMessage());
        for (Submission submission : failed) {
            submission.result.completeExceptionally(
                    submission.maybeCommitted ? StoreFailures.asOutcomeUnknown(error) : error);
        }
    }

    /** Puts submissions back to the front, in their order, unless their callers are answered. */
    private static void putBack(Partition partition, List<Submission> submissions) {
        for (int i = submissions.size() - 1; i >= 0; i--) {
            if (!submissions.get(i).result.isDone()) {
                partition.waiting.addFirst(submissions.get(i));
            }
        }
    }
}
