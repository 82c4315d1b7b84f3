package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * A job that holds a place on a worker, running or being stopped.
 *
 * @param use what it is estimated to use
 * @param ranMillis run time of its present attempt
 * @param unsavedMillis run time since its last checkpoint, which a stop without one loses
 * @param remainingMillis run time that it is estimated to need still
 * @param throttlePercent share of its declared cores that it may use, 1 to 100
 */
public record RunningJob(
        StoredJob stored,
        Resources use,
        long ranMillis,
        long unsavedMillis,
        long remainingMillis,
        int throttlePercent) {
    /** Memory that a worker writes to a checkpoint in a millisecond, in MiB. */
    private static final long CHECKPOINT_MIB_PER_MILLI = 1;

    /** Requires job and use. */
    public RunningJob {
        Objects.requireNonNull(stored, "stored");
        Objects.requireNonNull(use, "use");
    }

    /** What was submitted. */
    public JobSpec spec() {
        return stored.job().spec();
    }

    /** The job's team. */
    public TeamId team() {
        return spec().team();
    }

    /** The worker that it runs on. */
    public WorkerId worker() {
        return new WorkerId(stored.job().worker());
    }

    /** Whether it was decided to stop it. */
    public boolean stopping() {
        return stored.job().state() == JobState.STOPPING || stored.job().cancelRequested();
    }

    /** Time that a checkpoint is estimated to take, in milliseconds. */
    public long checkpointMillis() {
        return (long) use.memoryMib() / CHECKPOINT_MIB_PER_MILLI;
    }
}
