package org.quetzalscale.core.task;

import java.util.Objects;

/**
 * A run in progress on a worker.
 *
 * @param checkpoint newest checkpoint; empty if there is none
 * @param percent progress; 100 for a lasting task that serves its users
 * @param load response-time tail in milliseconds for a task that serves requests, processor use in
 *     thousandths of a core for any other task
 */
public record RunningTask(TaskRef task, long run, String checkpoint, int percent, long load) {
    /** Rejects null components. */
    public RunningTask {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
