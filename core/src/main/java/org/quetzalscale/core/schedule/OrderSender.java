package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;

/** Sends the scheduler's decisions to workers; answers come back to the scheduler. */
public interface OrderSender {
    /** Starts a run. */
    void start(WorkerId worker, StartOrder order);

    /** Stops a run, or forbids it if it has not started. */
    void stop(WorkerId worker, TaskRef task, long run);

    /** Limits a task's processor share. */
    void pace(WorkerId worker, TaskRef task, long run, int percent);
}
