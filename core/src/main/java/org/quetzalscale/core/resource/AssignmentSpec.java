package org.quetzalscale.core.resource;

import org.quetzalscale.core.id.PoolId;

/**
 * The one pool that a worker is in, and its phase. The row is authoritative: a worker serves a pool
 * only if the latest row says so.
 *
 * @param reason why the worker is not active, such as the wave's name, or empty
 */
public record AssignmentSpec(PoolId pool, WorkerPhase phase, String reason) implements Spec {
    /** Requires all parts; throws INVALID_FIELD. */
    public AssignmentSpec {
        Fields.requirePresent("spec.pool", pool);
        Fields.requirePresent("spec.phase", phase);
        Fields.requirePresent("spec.reason", reason);
    }

    @Override
    public Kind kind() {
        return Kind.ASSIGNMENTS;
    }
}
