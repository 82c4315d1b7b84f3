package org.quetzalscale.daemon.job;

import org.quetzalscale.core.job.JobRow;

/**
 * The JSON representation of a job for its submitter.
 *
 * @param state one of QUEUED, RUNNING, STOPPING, SUCCEEDED, FAILED, CANCELLED, SET_ASIDE
 * @param attempt number of the current or last attempt; 0 before the first
 * @param worker worker of the current attempt, or empty
 * @param reason why the job is in its state, or empty
 */
record JobAnswer(
        String id,
        String team,
        String state,
        int attempt,
        String worker,
        String checkpoint,
        String reason,
        boolean cancelRequested) {
    static JobAnswer of(JobRow job) {
        return new JobAnswer(
                job.id().value(),
                job.spec().team().value(),
                job.state().name(),
                job.attempt(),
                job.worker(),
                job.checkpoint(),
                job.reason(),
                job.cancelRequested());
    }
}
