package org.quetzalscale.core.instance;

import java.util.Objects;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;

/** Moves an instance to a pool. */
public record MoveOrder(InstanceId instance, PoolId pool) {
    /** Requires both. */
    public MoveOrder {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(pool, "pool");
    }
}
