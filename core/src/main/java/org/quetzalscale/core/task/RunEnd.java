package org.quetzalscale.core.task;

/** How a run of a task ended. */
public enum RunEnd {
    /** The task succeeded. */
    DONE,
    /** The task failed because of an error of its own or of the worker. */
    FAILED,
    /** The run was stopped by a stop order. */
    STOPPED,
    /** The worker's lease expired. */
    EXPIRED,
    /** Another member of the gang has ended. */
    GANG_BROKEN,
    /** The other members of the gang did not start. */
    GANG_INCOMPLETE
}
