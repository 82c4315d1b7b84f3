package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.task.TaskRef;

/** Jobs that are cancelled before their submission is carried out. */
final class OwnerCancellationTest extends OwnerFixture {
    private static final JobId LATER_JOB = new JobId("00000000000000ab");
    private static final TaskRef LATER_TASK = new TaskRef(LATER_JOB, 0, 0, 0);

    /** Too short for a second attempt of a submission. */
    private static final long SHORT_DEADLINE_MILLIS = 50;

    /** Submits the job, whose transaction gets no answer, and cancels it. */
    @BeforeEach
    void cancelBeforeTheSubmission() {
        table.holdNext(FleetRows.job(JOB).value());
        assertThat(errorOfSubmission()).isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
        assertThat(cancel()).as("the job is not recorded").isFalse();
    }

    private ErrorKind errorOfSubmission() {
        CompletionStage<Void> submission =
                onLoop(() -> gateway.submit(job(), clock.nowMillis() + SHORT_DEADLINE_MILLIS));
        Throwable failure = catchThrowable(() -> submission.toCompletableFuture().join());
        return QuetzalscaleException.from(failure).kind();
    }

    private boolean cancel() {
        return gateway.cancel(JOB, clock.nowMillis() + 1_000).toCompletableFuture().join();
    }

    private static boolean releasesRecoveredJobs(Node node) {
        return node.owner
                .term()
                .filter(OwnerTerm::jobsLoaded)
                .filter(term -> !term.scheduler().holdsRecoveredJobs())
                .isPresent();
    }

    private void awaitLaterJob() {
        submit(job(LATER_JOB));
        await("a later job", () -> worker.startsOf(LATER_TASK) == 1);
    }

    /** Guards against a job that starts although its cancellation was acknowledged (UNASKED). */
    @Test
    void startNothingWhenTheSubmissionIsCarriedOutLate() {
        Node node = new Node("node-1");
        table.releaseHeld();
        awaitLaterJob();

        assertThat(worker.startsOf(FIRST)).isZero();
        assertThat(phase()).isEmpty();
        node.stop();
    }

    /** Guards against the same job in the hands of an owner that reads all rows anew. */
    @Test
    void startNothingUnderTheNextOwner() {
        Node first = new Node("node-1");
        awaitLaterJob();
        table.releaseHeld();
        first.kill();
        Node second = new Node("node-2");
        await("recovered jobs may start", () -> onLoop(() -> releasesRecoveredJobs(second)));
        submit(job(new JobId("00000000000000ac")));
        await("a job", () -> worker.starts.size() >= 2);

        assertThat(worker.startsOf(FIRST)).isZero();
        second.stop();
    }

    /** Guards against a caller that is told that its job was accepted, which never runs. */
    @Test
    void areRefusedIfTheyAreSubmittedAgain() {
        assertThat(errorOfSubmission()).isEqualTo(ErrorKind.JOB_CANCELLED);
        assertThat(cancel()).as("there is still no such job").isFalse();
    }
}
