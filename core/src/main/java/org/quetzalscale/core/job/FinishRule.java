package org.quetzalscale.core.job;

import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;

/** Decides what becomes of a job whose attempt ended. */
final class FinishRule {
    private FinishRule() {}

    /** The change that records the end, bills it if it ran, and returns the units. */
    static JobChange apply(StoredJob before, TaskReport report, FaultAttribution attribution) {
        JobRow job = before.job();
        if (report.state() == TaskState.SUCCEEDED) {
            return JobChange.finish(before, report, JobState.SUCCEEDED, "");
        }
        if (job.cancelRequested()) {
            return JobChange.finish(before, report, JobState.CANCELLED, "cancelled");
        }
        if (report.state() == TaskState.FAILED && ownFailures(job, report, attribution)) {
            return JobChange.finish(
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
        String why =
                report.state() == TaskState.STOPPED
                        ? job.reason()
                        : "attempt " + job.attempt() + " ended as " + report.state();
        return JobChange.finish(before, report, JobState.QUEUED, why);
    }

    /** Failures on a worker that is itself suspect do not count against the job. */
    private static boolean ownFailures(
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
