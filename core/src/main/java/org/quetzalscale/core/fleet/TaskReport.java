package org.quetzalscale.core.fleet;

import java.util.Objects;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * State and usage of a task as the platform last heard from its worker; usage lags.
 *
 * @param runMillis time that the task ran
 * @param cpuMillis processor time that it used
 * @param peakMemoryMib most memory that it used, in MiB
 * @param checkpoint name of its latest checkpoint, or empty
 * @param reason why it failed, or empty
 */
public record TaskReport(
        TaskId task,
        WorkerId worker,
        TaskState state,
        long runMillis,
        long cpuMillis,
        int peakMemoryMib,
        String checkpoint,
        String reason) {
    /** Requires all parts. */
    public TaskReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(reason, "reason");
    }
}
