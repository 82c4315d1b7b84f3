package org.quetzalscale.core.task;

/** The state of a job as its submitter sees it. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** Tasks have started. */
    RUNNING,
    /** All tasks have ended well. */
    COMPLETED,
    /** A task has failed as often as permitted. */
    FAILED,
    /** The submitter cancelled the job. */
    CANCELLED;

    /** Whether nothing of the job runs or will run any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
