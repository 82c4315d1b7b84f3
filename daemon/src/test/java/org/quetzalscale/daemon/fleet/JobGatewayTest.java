package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.retry.CallRetryBudget;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.Recurrence;

/** Calls of the gateway to a slow or failing store, in virtual time. */
final class JobGatewayTest {
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");
    private static final long DEADLINE_DELAY_MILLIS = 2_900;

    private final VirtualLoop loop = new VirtualLoop();
    private final ScriptedTable table = new ScriptedTable();
    private final LoopClock clock =
            new LoopClock(loop.executor(Runnable::run), loop::nowMillis, loop::nowMillis);
    private final JobGateway gateway =
            new JobGateway(table, clock, () -> false, new CallRetryBudget(), count -> {});
    private final long deadlineMillis = loop.nowMillis() + DEADLINE_DELAY_MILLIS;

    /** A store without rows, which answers each call after a delay, or with an error. */
    private final class ScriptedTable implements FeedTable {
        final Queue<ErrorKind> errors = new ArrayDeque<>();
        long delayMillis;

        private <T> CompletionStage<T> answer(T value) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            ErrorKind error = errors.poll();
            clock.after(
                    delayMillis,
                    () -> {
                        if (error == null) {
                            answer.complete(value);
                        } else {
                            answer.completeExceptionally(
                                    new QuetzalscaleException(error, "scripted"));
                        }
                    });
            return answer;
        }

        @Override
        public CompletionStage<Optional<Row>> read(RowKey key) {
            return answer(Optional.empty());
        }

        @Override
        public CompletionStage<List<Row>> scan(String prefix) {
            return answer(List.of());
        }

        @Override
        public CompletionStage<RowSnapshot> snapshot(String prefix) {
            return answer(new RowSnapshot(List.of(), 1));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return answer(CommitResult.committed(1));
        }

        @Override
        public CompletionStage<Changes> changesAfter(String name, long version, int waitMillis) {
            return answer(new Changes(List.of(), version));
        }
    }

    private CompletableFuture<Void> submit() {
        return submit("");
    }

    private CompletableFuture<Void> submit(String spec) {
        JobDefinition job =
                new JobDefinition(
                        JOB,
                        new QueueId("queue"),
                        new PoolId("pool"),
                        Optional.empty(),
                        loop.nowMillis(),
                        spec,
                        List.of(Steps.ending(1, 1, List.of())),
                        new Recurrence(0, 0, 0));
        return gateway.submit(job, deadlineMillis).toCompletableFuture();
    }

    private static ErrorKind errorOf(CompletableFuture<?> call) {
        assertThat(call).isDone();
        return QuetzalscaleException.from(catchThrowable(call::join)).kind();
    }

    /** Guards against responses that come after the caller has stopped waiting. */
    @Nested
    class AtTheDeadline {
        @Test
        void endsAQueryWhoseSecondReadIsTooLate() {
            table.delayMillis = DEADLINE_DELAY_MILLIS * 2 / 3;
            CompletableFuture<Optional<JobPhase>> phase =
                    gateway.phase(JOB, deadlineMillis).toCompletableFuture();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(phase)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }

        @Test
        void endsASubmissionWithAnUnknownOutcome() {
            table.delayMillis = DEADLINE_DELAY_MILLIS * 2;
            CompletableFuture<Void> submission = submit();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(submission)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }

        @Test
        void answersACallThatArrivesShortlyBeforeIt() {
            loop.runUntil(deadlineMillis);
            table.delayMillis = 10;
            CompletableFuture<Void> submission = submit();
            loop.runUntil(deadlineMillis + table.delayMillis);
            assertThat(submission).isCompleted();
        }
    }

    /** Guards against telling a caller that a job was not accepted when it may be recorded. */
    @Nested
    class AfterErrors {
        @Test
        void keepsTheOutcomeUnknownIfALaterAttemptIsRefused() {
            table.errors.add(ErrorKind.STORE_OUTCOME_UNKNOWN);
            table.errors.add(ErrorKind.STORE_UNAVAILABLE);
            table.errors.add(ErrorKind.STORE_UNAVAILABLE);
            CompletableFuture<Void> submission = submit();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(submission)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }

        @Test
        void treatsAnUnintelligibleAnswerAsAnUnknownOutcome() {
            table.errors.add(ErrorKind.MALFORMED_FRAME);
            table.errors.add(ErrorKind.STORE_UNAVAILABLE);
            table.errors.add(ErrorKind.STORE_UNAVAILABLE);
            CompletableFuture<Void> submission = submit();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(submission)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }

        /** The kind of a dropped history has the status that tells callers of an unknown job. */
        @Test
        void doesNotPassOnAnErrorThatCallersWouldTakeForAnUnknownJob() {
            for (int i = 0; i < 3; i++) {
                table.errors.add(ErrorKind.REVISION_TOO_OLD);
            }
            CompletableFuture<Optional<JobPhase>> phase =
                    gateway.phase(JOB, deadlineMillis).toCompletableFuture();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(phase)).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        }

        @Test
        void reportsARefusalIfNoAttemptCanHaveBeenCarriedOut() {
            for (int i = 0; i < 3; i++) {
                table.errors.add(ErrorKind.STORE_UNAVAILABLE);
            }
            CompletableFuture<Void> submission = submit();
            loop.runUntil(deadlineMillis);
            assertThat(errorOf(submission)).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        }
    }

    /**
     * Guards against a job that is refused without a reason, or repeated although it never fits.
     */
    @Test
    void refusesAJobThatExceedsARow() {
        int limit = table.limits().rowBytes();
        CompletableFuture<Void> submission = submit("x".repeat(limit));
        assertThat(errorOf(submission)).isEqualTo(ErrorKind.INVALID_FIELD);
        assertThat(catchThrowable(submission::join)).hasMessageContaining("at most " + limit);
    }
}
