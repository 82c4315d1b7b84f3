package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * What the configuration says of a queue of jobs.
 *
 * @param priority 0 comes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch the latency objective in multiples of the job's longest chain of work
 * @param targetMillis what the latency objective adds to that
 * @param open whether jobs need no key
 */
public record QueuePolicy(
        QueueId id,
        PoolId pool,
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        boolean open) {
    /** Requires the ids. */
    public QueuePolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pool, "pool");
    }
}
