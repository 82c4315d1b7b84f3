package org.quetzalscale.core.fleet;

import java.util.Objects;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * State and usage of a task from its worker's latest report to the platform; usage is delayed.
 *
 * @param runMillis time that the task ran, in ms
 * @param cpuMillis CPU time that it used, in ms
 * @param peakMemoryMib peak memory use, in MiB
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
    /** No component may be null. */
    public TaskReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(reason, "reason");
    }
}
