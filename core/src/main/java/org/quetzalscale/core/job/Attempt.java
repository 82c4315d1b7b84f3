package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.WorkerId;

/**
 * An ended attempt to run a job.
 *
 * @param number 1 for the job's first attempt
 * @param runMillis time that it ran, as the platform reported it
 * @param reason why it failed, or empty
 */
public record Attempt(int number, WorkerId worker, TaskState end, long runMillis, String reason) {
    /** Requires all parts. */
    public Attempt {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(end, "end");
        Objects.requireNonNull(reason, "reason");
    }
}
