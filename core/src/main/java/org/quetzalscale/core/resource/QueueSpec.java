package org.quetzalscale.core.resource;

import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * A queue to which callers send requests.
 *
 * @param pool the pool that serves it
 * @param open whether requests without a key are accepted
 * @param timeoutMs time limit of a request in milliseconds, from arrival to the end of its answer
 * @param maxQueued requests that may wait at one instance
 * @param idempotentMethods HTTP methods whose requests may run more than once
 */
public record QueueSpec(
        PoolId pool, boolean open, int timeoutMs, int maxQueued, Set<String> idempotentMethods)
        implements Spec {
    /** Methods that are idempotent unless a queue declares otherwise. */
    public static final Set<String> DEFAULT_IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    /** Longest time limit that a request may have, in milliseconds. */
    public static final int MAX_TIMEOUT_MILLIS = 60_000;

    private static final int MAX_QUEUED = 100_000;

    /** Checks the ranges; throws INVALID_FIELD. */
    public QueueSpec {
        Fields.requirePresent("spec.pool", pool);
        Fields.requireRange("spec.timeoutMs", timeoutMs, 1, MAX_TIMEOUT_MILLIS);
        Fields.requireRange("spec.maxQueued", maxQueued, 0, MAX_QUEUED);
        idempotentMethods = Set.copyOf(idempotentMethods);
    }

    @Override
    public Kind kind() {
        return Kind.QUEUES;
    }
}
