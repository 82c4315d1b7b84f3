package org.quetzalscale.core.job;

import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;

/** Decides the next state of a job whose attempt has ended: final, or queued for a retry. */
final class CompletionPolicy {
    private CompletionPolicy() {}

    /**
     * Returns the change that records the end of the attempt, bills it if it ran, and releases its
     * units.
     */
    static JobChange endAttempt(StoredJob before, TaskReport report, FaultAttribution attribution) {
        JobRow job = before.job();
        if (report.state() == TaskState.SUCCEEDED) {
            return JobChange.endAttempt(before, report, JobState.SUCCEEDED, "");
        }
        if (job.cancelRequested()) {
            return JobChange.endAttempt(before, report, JobState.CANCELLED, "cancelled");
        }
        if (report.state() == TaskState.FAILED && reachesFailureLimit(job, report, attribution)) {
            return JobChange.endAttempt(
                    before,
                    report,
                    JobState.FAILED,
                    "failed "
                            + job.spec().maxFailures()
                            + " times, last on worker "
                            + report.worker()
                            + ": "
                            + report.reason());
        }
        String reason =
                report.state() == TaskState.STOPPED
                        ? job.reason()
                        : "attempt " + job.attempt() + " ended as " + report.state();
        return JobChange.endAttempt(before, report, JobState.QUEUED, reason);
    }

    /** Failures on workers that are on probation do not count against the job. */
    private static boolean reachesFailureLimit(
            JobRow job, TaskReport report, FaultAttribution attribution) {
        long failures =
                job.attempts().stream()
                        .filter(attempt -> attempt.end() == TaskState.FAILED)
                        .filter(attempt -> !attribution.isOnProbation(attempt.worker()))
                        .count();
        if (!attribution.isOnProbation(report.worker())) {
            failures++;
        }
        return failures >= job.spec().maxFailures();
    }
}
