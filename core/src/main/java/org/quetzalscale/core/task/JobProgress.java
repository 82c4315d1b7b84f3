package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import org.quetzalscale.core.id.JobId;

/** The recorded progress of a job. For a job that has ended, only the phase is kept. */
public record JobProgress(JobId job, JobPhase phase, List<StepProgress> steps) {
    /** Rejects null components and copies the steps. */
    public JobProgress {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(phase, "phase");
        steps = List.copyOf(steps);
    }
}
