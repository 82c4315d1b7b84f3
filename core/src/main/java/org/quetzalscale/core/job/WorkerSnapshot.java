package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * A worker as the scheduler sees it.
 *
 * @param pool name of the pool that it is in
 * @param accepts whether it takes new work
 * @param leaving whether what runs on it has to move because the worker drains
 */
public record WorkerSnapshot(
        WorkerId worker, String pool, Resources capacity, boolean accepts, boolean leaving) {
    /** Requires all parts. */
    public WorkerSnapshot {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(capacity, "capacity");
    }

    /** Whether a job may run in this worker's pool. */
    public boolean serves(JobSpec spec) {
        return spec.pool().isEmpty() || spec.pool().equals(pool);
    }
}
