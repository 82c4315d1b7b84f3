package org.quetzalscale.core.instance;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;

/**
 * An instance of the fleet as the platform lists it.
 *
 * @param rack label of the instance's rack; empty if unknown
 * @param zone availability zone of the instance; empty if unknown
 * @param worker worker that runs on the instance; empty if none does
 */
public record FleetInstance(
        InstanceId id,
        PoolId pool,
        InstanceState state,
        String rack,
        Optional<ZoneId> zone,
        Optional<WorkerId> worker) {
    /** Rejects null components. */
    public FleetInstance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(worker, "worker");
    }

    /** Creates an instance whose availability zone is not known. */
    public FleetInstance(
            InstanceId id,
            PoolId pool,
            InstanceState state,
            String rack,
            Optional<WorkerId> worker) {
        this(id, pool, state, rack, Optional.empty(), worker);
    }

    /** Whether the instance is up. */
    public boolean up() {
        return state == InstanceState.UP;
    }
}
