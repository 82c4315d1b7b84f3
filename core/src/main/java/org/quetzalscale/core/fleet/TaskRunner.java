package org.quetzalscale.core.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * The platform's interface to tasks on workers. Stages fail with STORE_UNAVAILABLE if the platform
 * did not accept the operation and with STORE_OUTCOME_UNKNOWN if its response was lost. Every
 * operation is idempotent per task and may be repeated.
 */
public interface TaskRunner {
    /**
     * Starts a task, or returns the report of the task that already has this identifier.
     *
     * @param leaseMillis the worker stops the task if its lease is not renewed for this long
     */
    CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis);

    /** Renews the lease; it then expires after the given time from now. */
    CompletionStage<TaskReport> renew(TaskId task, long leaseMillis);

    /** Makes the task write a checkpoint and continue. */
    CompletionStage<TaskReport> checkpoint(TaskId task);

    /**
     * Limits the CPU use of a task.
     *
     * @param percent share of the declared cores that it may use, 1 to 100
     */
    CompletionStage<TaskReport> throttle(TaskId task, int percent);

    /**
     * Stops a task permanently.
     *
     * @param checkpointFirst whether it writes a checkpoint before it stops
     */
    CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst);

    /** State and usage of a task as last reported to the platform, or empty if it never started. */
    CompletionStage<Optional<TaskReport>> report(TaskId task);
}
