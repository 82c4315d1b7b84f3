package org.quetzalscale.core.job;

/** State of a job. */
public enum JobState {
    /** Waits for a start. */
    QUEUED(false),
    /** Its present attempt was granted and may run. */
    RUNNING(false),
    /** Its present attempt is being stopped. */
    STOPPING(false),
    /** Ended with success. */
    SUCCEEDED(true),
    /** Failed as often as it may. */
    FAILED(true),
    /** Ended on the submitter's request. */
    CANCELLED(true),
    /** Can not run, for the reason in its row. */
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
