package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskSpec;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * The row {@code job/<id>}, or {@code job-done/<id>} once the state is final.
 *
 * @param attempt number of the present or last attempt; 0 before the first
 * @param worker worker of the present attempt, or empty while none is granted
 * @param checkpoint checkpoint from which the next attempt resumes, or empty
 * @param reason why the job is in its state, or empty
 * @param cancelRequested whether the submitter asked for its end
 * @param submittedAtMillis wall-clock time of the submission in milliseconds; orders jobs and
 *     decides nothing else
 * @param runMillis run time of the present attempt as last reported
 * @param attempts ended attempts, the latest 32
 */
public record JobRow(
        JobId id,
        JobSpec spec,
        JobState state,
        int attempt,
        String worker,
        String checkpoint,
        String reason,
        boolean cancelRequested,
        long submittedAtMillis,
        long runMillis,
        List<Attempt> attempts) {
    private static final int MAX_ATTEMPTS_KEPT = 32;

    /** Copies the attempts. */
    public JobRow {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(reason, "reason");
        attempts = List.copyOf(attempts);
    }

    /** A job that was just submitted. */
    public static JobRow submitted(JobId id, JobSpec spec, long submittedAtMillis) {
        return new JobRow(
                id, spec, JobState.QUEUED, 0, "", "", "", false, submittedAtMillis, 0, List.of());
    }

    /** Identifier of the present or last attempt. */
    public TaskId task() {
        return new TaskId(id.value() + "-" + attempt);
    }

    /** What the present attempt runs. */
    public TaskSpec taskSpec() {
        return spec.task(checkpoint);
    }

    /** Attempts that ended in a failure of their own. */
    public long failures() {
        return attempts.stream().filter(ended -> ended.end() == TaskState.FAILED).count();
    }

    /** The job with its next attempt granted on a worker. */
    public JobRow startedOn(WorkerId target) {
        return new JobRow(
                id,
                spec,
                JobState.RUNNING,
                attempt + 1,
                target.value(),
                checkpoint,
                "",
                cancelRequested,
                submittedAtMillis,
                0,
                attempts);
    }

    /** The job with the worker and usage of its present attempt, as the platform reports them. */
    public JobRow withProgress(TaskReport report) {
        return copy(
                state,
                report.worker().value(),
                report.checkpoint().isEmpty() ? checkpoint : report.checkpoint(),
                reason,
                cancelRequested,
                report.runMillis());
    }

    /**
     * The waiting job without its present attempt, which the platform never took. The next start
     * has the same task identifier again, so that a start that arrives late runs nothing twice.
     */
    public JobRow withStartReverted(String why) {
        return new JobRow(
                id,
                spec,
                JobState.QUEUED,
                attempt - 1,
                "",
                checkpoint,
                why,
                cancelRequested,
                submittedAtMillis,
                0,
                attempts);
    }

    /** The job with a checkpoint that its next attempt resumes from. */
    public JobRow withCheckpoint(String name) {
        return copy(state, worker, name, reason, cancelRequested, runMillis);
    }

    /** The job with its present attempt being stopped. */
    public JobRow stopping(String why) {
        return copy(JobState.STOPPING, worker, checkpoint, why, cancelRequested, runMillis);
    }

    /** The job with its end requested. */
    public JobRow withCancelRequested() {
        return copy(state, worker, checkpoint, reason, true, runMillis);
    }

    /** The job in a state without a present attempt. */
    public JobRow withoutAttempt(JobState next, String why) {
        return copy(next, "", checkpoint, why, cancelRequested, 0);
    }

    /** The job with its present attempt recorded as ended. */
    public JobRow withEndedAttempt(TaskReport report) {
        List<Attempt> kept = new ArrayList<>(attempts);
        kept.add(
                new Attempt(
                        attempt,
                        report.worker(),
                        report.state(),
                        report.runMillis(),
                        report.reason()));
        if (kept.size() > MAX_ATTEMPTS_KEPT) {
            kept.remove(0);
        }
        String latest = report.checkpoint().isEmpty() ? checkpoint : report.checkpoint();
        return new JobRow(
                id,
                spec,
                state,
                attempt,
                worker,
                latest,
                reason,
                cancelRequested,
                submittedAtMillis,
                report.runMillis(),
                kept);
    }

    private JobRow copy(
            JobState nextState,
            String nextWorker,
            String nextCheckpoint,
            String nextReason,
            boolean cancel,
            long nextRunMillis) {
        return new JobRow(
                id,
                spec,
                nextState,
                attempt,
                nextWorker,
                nextCheckpoint,
                nextReason,
                cancel,
                submittedAtMillis,
                nextRunMillis,
                attempts);
    }
}
