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
 * Stored state of a job: row {@code job/<id>}, or {@code job-done/<id>} once the state is final.
 * Components are stored by name.
 *
 * @param attempt number of the current or last attempt; 0 before the first
 * @param worker worker of the current attempt, or empty if there is none
 * @param checkpoint checkpoint from which the next attempt resumes, or empty
 * @param reason reason for the state, or empty
 * @param cancelRequested whether the submitter requested cancellation
 * @param submittedAtMillis wall-clock time of submission in milliseconds; affects only the order
 *     and the waiting time of jobs
 * @param runMillis last reported run time of the current attempt, in milliseconds
 * @param attempts the latest 32 ended attempts
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

    /** Returns the row of a newly submitted job. */
    public static JobRow submitted(JobId id, JobSpec spec, long submittedAtMillis) {
        return new JobRow(
                id, spec, JobState.QUEUED, 0, "", "", "", false, submittedAtMillis, 0, List.of());
    }

    /** Task id of the current or last attempt. */
    public TaskId task() {
        return new TaskId(id.value() + "-" + attempt);
    }

    /** Task specification of the current attempt. */
    public TaskSpec taskSpec() {
        return spec.task(checkpoint);
    }

    /** Number of attempts that failed; stopped and lost ones do not count. */
    public long failures() {
        return attempts.stream().filter(ended -> ended.end() == TaskState.FAILED).count();
    }

    /** Returns the job with its next attempt assigned to a worker. */
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

    /** Returns the job with the reported worker, checkpoint and run time of its current attempt. */
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
     * Returns the queued job without its current attempt, which the platform never accepted. The
     * next start reuses the task id, so that a delayed start request can not run the job twice.
     */
    public JobRow withStartReverted(String newReason) {
        return new JobRow(
                id,
                spec,
                JobState.QUEUED,
                attempt - 1,
                "",
                checkpoint,
                newReason,
                cancelRequested,
                submittedAtMillis,
                0,
                attempts);
    }

    /** Returns the job with a checkpoint from which its next attempt resumes. */
    public JobRow withCheckpoint(String name) {
        return copy(state, worker, name, reason, cancelRequested, runMillis);
    }

    /** Returns the job in the state STOPPING. */
    public JobRow stopping(String newReason) {
        return copy(JobState.STOPPING, worker, checkpoint, newReason, cancelRequested, runMillis);
    }

    /** Returns the job with cancellation requested. */
    public JobRow withCancelRequested() {
        return copy(state, worker, checkpoint, reason, true, runMillis);
    }

    /** Returns the job in the given state and without a current attempt. */
    public JobRow withoutAttempt(JobState next, String newReason) {
        return copy(next, "", checkpoint, newReason, cancelRequested, 0);
    }

    /** Returns the job with its current attempt added to the ended attempts. */
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
