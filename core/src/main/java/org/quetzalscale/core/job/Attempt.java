package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.WorkerId;

/**
 * One attempt to run a job that has ended.
 *
 * @param number number of the attempt, from 1
 * @param end final state that the platform reported
 * @param runMillis run time that the platform reported, in milliseconds
 * @param reason why the attempt failed, or empty
 */
public record Attempt(int number, WorkerId worker, TaskState end, long runMillis, String reason) {
    /** Rejects null components. */
    public Attempt {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(end, "end");
        Objects.requireNonNull(reason, "reason");
    }
}
