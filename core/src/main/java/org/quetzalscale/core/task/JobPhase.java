package org.quetzalscale.core.task;

/** The state of a job as shown to its submitter. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks have succeeded. */
    COMPLETED,
    /** A task has used up its permitted attempts. */
    FAILED,
    /** The submitter cancelled the job. */
    CANCELLED;

    /** Whether the job has ended, so that no task of it starts any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
