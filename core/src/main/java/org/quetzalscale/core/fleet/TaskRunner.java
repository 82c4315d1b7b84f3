package org.quetzalscale.core.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * The platform's interface to tasks on workers. Stages fail with STORE_UNAVAILABLE if the platform
 * did not take the operation and with STORE_OUTCOME_UNKNOWN if its answer was lost; every operation
 * is idempotent by task and may be repeated.
 */
public interface TaskRunner {
    /**
     * Starts a task, or returns the report of the task that already has this identifier.
     *
     * @param leaseMillis the worker stops the task when its lease was not renewed for this long
     */
    CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis);

    /** Extends the lease to the given time from now. */
    CompletionStage<TaskReport> renew(TaskId task, long leaseMillis);

    /** Writes a checkpoint and goes on. */
    CompletionStage<TaskReport> checkpoint(TaskId task);

    /**
     * Limits the processor use of a task.
     *
     * @param percent share of the declared cores that it may use, 1 to 100
     */
    CompletionStage<TaskReport> throttle(TaskId task, int percent);

    /**
     * Stops a task for good.
     *
     * @param checkpointFirst whether it writes a checkpoint before it stops
     */
    CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst);

    /** State and usage of a task as the platform last heard, or empty if it never started. */
    CompletionStage<Optional<TaskReport>> report(TaskId task);
}
