package org.quetzalscale.core.task;

import java.util.Objects;
import org.quetzalscale.core.id.JobId;

/**
 * Names one task of a job.
 *
 * @param occurrence number of the repetition of the job, from 0
 * @param step number of the step, from 0
 * @param index number of the task in its step, from 0
 */
public record TaskRef(JobId job, int occurrence, int step, int index) {
    /** Requires the job. */
    public TaskRef {
        Objects.requireNonNull(job, "job");
    }

    @Override
    public String toString() {
        return job + "/" + occurrence + "/" + step + "/" + index;
    }
}
