package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;

/** Sends orders to workers. Answers are passed to the {@link FleetScheduler}. */
public interface OrderSender {
    /** Orders the start of a run. */
    void start(WorkerId worker, StartOrder order);

    /** Orders a worker to stop a run, or not to start it. */
    void stop(WorkerId worker, TaskRef task, long run);

    /** Limits the processor share of a task, in percent. */
    void pace(WorkerId worker, TaskRef task, long run, int percent);
}
