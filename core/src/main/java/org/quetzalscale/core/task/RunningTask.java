package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * A task that a worker runs.
 *
 * @param checkpoint the newest checkpoint, or empty
 * @param percent progress; 100 for a lasting task that is at work
 * @param load the response-time tail in milliseconds of a task that serves, thousandths of a core
 *     in use of any other
 */
public record RunningTask(TaskRef task, long run, String checkpoint, int percent, long load) {
    /** Requires all parts. */
    public RunningTask {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
