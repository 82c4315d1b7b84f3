package org.quetzalscale.core.job;

/** State of a job. */
public enum JobState {
    /** Waits to be started. */
    QUEUED(false),
    /** The current attempt is assigned to a worker and may run. */
    RUNNING(false),
    /** The current attempt is being stopped. */
    STOPPING(false),
    /** Completed successfully. */
    SUCCEEDED(true),
    /** Reached its maximum number of failed attempts. */
    FAILED(true),
    /** Cancelled by the submitter. */
    CANCELLED(true),
    /** Can not run; the reason is in its row. */
    SET_ASIDE(true);

    private final boolean ended;

    JobState(boolean ended) {
        this.ended = ended;
    }

    /** Whether the state is final. */
    public boolean ended() {
        return ended;
    }

    /** Whether a job in this state holds units of its team's limit. */
    public boolean holdsUnits() {
        return this == RUNNING || this == STOPPING;
    }
}
