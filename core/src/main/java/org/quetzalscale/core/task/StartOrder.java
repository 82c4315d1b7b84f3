package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * Orders a worker to start a run.
 *
 * @param run number of the start; rises with each start of the task
 * @param checkpoint where to resume, or empty
 */
public record StartOrder(TaskRef task, long run, String spec, String checkpoint) {
    /** Requires all parts. */
    public StartOrder {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
