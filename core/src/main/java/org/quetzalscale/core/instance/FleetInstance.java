package org.quetzalscale.core.instance;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * An instance of the fleet.
 *
 * @param rack the label of its rack; empty if unknown
 * @param worker the worker that runs on it, if one does
 */
public record FleetInstance(
        InstanceId id, PoolId pool, InstanceState state, String rack, Optional<WorkerId> worker) {
    /** Requires all parts. */
    public FleetInstance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(worker, "worker");
    }

    /** Whether it runs its worker. */
    public boolean up() {
        return state == InstanceState.UP;
    }
}
