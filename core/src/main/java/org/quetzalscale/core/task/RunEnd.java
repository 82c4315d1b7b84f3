package org.quetzalscale.core.task;

/** How a run of a task ended. */
public enum RunEnd {
    /** The task has done its work. */
    DONE,
    /** The task failed, through its own fault or the worker's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The worker's lease expired. */
    EXPIRED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members of the gang did not come. */
    GANG_INCOMPLETE
}
