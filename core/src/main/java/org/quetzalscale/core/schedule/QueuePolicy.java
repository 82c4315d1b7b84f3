package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * Configuration of a job queue.
 *
 * @param priority rank of the queue; 0 is scheduled first
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretch factor of the job's critical path in its latency objective
 * @param targetMillis constant part of the latency objective, added to that
 * @param open whether jobs are accepted without an API key
 */
public record QueuePolicy(
        QueueId id,
        PoolId pool,
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        boolean open) {
    /** The attempts of a queue that declares none. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    /** Rejects null ids. */
    public QueuePolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pool, "pool");
    }
}
