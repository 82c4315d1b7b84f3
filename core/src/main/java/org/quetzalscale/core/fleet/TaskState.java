package org.quetzalscale.core.fleet;

/** State of a task, as the platform reports it. */
public enum TaskState {
    /** Runs under its lease. */
    RUNNING(false),
    /** Ended by itself with success. */
    SUCCEEDED(true),
    /** Ended by itself with a failure. */
    FAILED(true),
    /** Stopped on request. */
    STOPPED(true),
    /** Stopped by its worker because its lease ran out. */
    LEASE_EXPIRED(true),
    /** Its worker was lost. */
    LOST(true);

    private final boolean ended;

    TaskState(boolean ended) {
        this.ended = ended;
    }

    /** Whether the task will never run again. */
    public boolean ended() {
        return ended;
    }
}
