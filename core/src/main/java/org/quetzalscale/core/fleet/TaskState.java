package org.quetzalscale.core.fleet;

/** State of a task, as the platform reports it. */
public enum TaskState {
    /** Running with a valid lease. */
    RUNNING(false),
    /** Ended by itself, successfully. */
    SUCCEEDED(true),
    /** Ended by itself with a failure. */
    FAILED(true),
    /** Stopped on request. */
    STOPPED(true),
    /** Stopped by its worker because its lease expired. */
    LEASE_EXPIRED(true),
    /** Its worker was lost. */
    LOST(true);

    private final boolean ended;

    TaskState(boolean ended) {
        this.ended = ended;
    }

    /** Whether the task has ended; it then never runs again. */
    public boolean ended() {
        return ended;
    }
}
