package org.quetzalscale.core.schedule;

/** Why no further task of a step starts now. */
public enum WaitReason {
    /** No task of the step waits. */
    NONE,
    /** The job has ended. */
    JOB_ENDED,
    /** The occurrence is not due yet. */
    NOT_DUE,
    /** The owner holds as many tasks as it may, or the next planning round opens the occurrence. */
    OPEN_TASKS,
    /**
     * Starts are suspended: an earlier owner may have started runs that this owner does not know.
     */
    OWNER_CHANGED,
    /** The recorded progress of the job cannot be read, so its tasks may have run. */
    PROGRESS_UNREADABLE,
    /** Steps that this step depends on are not done. */
    EARLIER_STEPS,
    /** The task is not retried yet after a failed run. */
    PAUSE,
    /** The organisation's cap is reached. */
    ORGANISATION_CAP,
    /** No eligible worker has enough free resources. */
    NO_ROOM,
    /** Nothing prevents the start; the next planning round sends it. */
    TURN
}
