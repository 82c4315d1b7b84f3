package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * A job that is assigned to a worker: running or being stopped.
 *
 * @param use estimated usage
 * @param ranMillis run time of the current attempt, in milliseconds
 * @param unsavedMillis run time since the last checkpoint, in milliseconds; a stop without a
 *     checkpoint loses it
 * @param remainingMillis estimated remaining run time, in milliseconds
 * @param throttlePercent percentage of the declared cores that the job may use, 1 to 100
 */
public record RunningJob(
        StoredJob stored,
        Resources use,
        long ranMillis,
        long unsavedMillis,
        long remainingMillis,
        int throttlePercent) {
    /** Assumed write rate of checkpoints, in MiB per millisecond. */
    private static final long CHECKPOINT_MIB_PER_MILLI = 1;

    /** Rejects null components. */
    public RunningJob {
        Objects.requireNonNull(stored, "stored");
        Objects.requireNonNull(use, "use");
    }

    /** The submitted specification. */
    public JobSpec spec() {
        return stored.job().spec();
    }

    /** The job's team. */
    public TeamId team() {
        return spec().team();
    }

    /** The worker that the job is assigned to. */
    public WorkerId worker() {
        return new WorkerId(stored.job().worker());
    }

    /** Whether the job is being stopped or its cancellation was requested. */
    public boolean stopping() {
        return stored.job().state() == JobState.STOPPING || stored.job().cancelRequested();
    }

    /** Estimated duration of a checkpoint, in milliseconds. */
    public long checkpointMillis() {
        return (long) use.memoryMib() / CHECKPOINT_MIB_PER_MILLI;
    }
}
