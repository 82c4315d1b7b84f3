package org.quetzalscale.core.task;

import java.util.Objects;
import org.quetzalscale.core.id.JobId;

/**
 * Identifies a task of a job.
 *
 * @param occurrence number of the job's occurrence, from 0
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskRef(JobId job, int occurrence, int step, int index) {
    /** Rejects a null job. */
    public TaskRef {
        Objects.requireNonNull(job, "job");
    }

    @Override
    public String toString() {
        return job + "/" + occurrence + "/" + step + "/" + index;
    }
}
