package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * An order to a worker to start a run.
 *
 * @param run number of the run; increases with each start of the task
 * @param checkpoint checkpoint to resume from; empty to start from the beginning
 */
public record StartOrder(TaskRef task, long run, String spec, String checkpoint) {
    /** Rejects null components. */
    public StartOrder {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
