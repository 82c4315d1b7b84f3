package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * A run that has ended on a worker.
 *
 * @param number sequence number of the end on the worker, starting at 1 in each incarnation
 * @param checkpoint newest checkpoint; empty if there is none
 */
public record FinishedRun(long number, TaskRef task, long run, RunEnd end, String checkpoint) {
    /** Rejects null components. */
    public FinishedRun {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(end, "end");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
