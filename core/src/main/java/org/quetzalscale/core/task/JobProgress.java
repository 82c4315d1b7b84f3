package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import org.quetzalscale.core.id.JobId;

/** What is recorded of a job beside its definition. A job that ended keeps only its phase. */
public record JobProgress(JobId job, JobPhase phase, List<StepProgress> steps) {
    /** Copies the list. */
    public JobProgress {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(phase, "phase");
        steps = List.copyOf(steps);
    }
}
