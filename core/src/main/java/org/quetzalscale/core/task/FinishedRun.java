package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * A run that ended on a worker.
 *
 * @param number position in the worker's list of ends, from 1 in each incarnation
 * @param checkpoint the newest checkpoint, or empty
 */
public record FinishedRun(long number, TaskRef task, long run, RunEnd end, String checkpoint) {
    /** Requires all parts. */
    public FinishedRun {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(end, "end");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
