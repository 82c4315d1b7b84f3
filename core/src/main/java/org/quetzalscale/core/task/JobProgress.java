package org.quetzalscale.core.task;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.quetzalscale.core.id.JobId;

/**
 * The recorded progress of a job. For a job that has ended, only the phase is kept.
 *
 * @param doneOccurrences numbers of the occurrences of which all tasks succeeded
 * @param steps started steps of the other occurrences
 */
public record JobProgress(
        JobId job, JobPhase phase, BitSet doneOccurrences, List<StepProgress> steps) {
    /** Rejects null components and copies the collections. */
    public JobProgress {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(phase, "phase");
        doneOccurrences = (BitSet) doneOccurrences.clone();
        steps = List.copyOf(steps);
    }

    /** The progress of a job of which no occurrence is done. */
    public JobProgress(JobId job, JobPhase phase, List<StepProgress> steps) {
        this(job, phase, new BitSet(), steps);
    }
}
