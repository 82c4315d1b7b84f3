package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * Capacity and state of a worker: part of the input of {@link JobScheduler}.
 *
 * @param pool name of its pool
 * @param accepts whether the worker accepts new jobs
 * @param leaving whether the worker is draining, so that its jobs have to move
 */
public record WorkerSnapshot(
        WorkerId worker, String pool, Resources capacity, boolean accepts, boolean leaving) {
    /** Rejects null components. */
    public WorkerSnapshot {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(capacity, "capacity");
    }

    /** Whether the job may run in the pool of this worker. */
    public boolean serves(JobSpec spec) {
        return spec.pool().isEmpty() || spec.pool().equals(pool);
    }
}
