package org.quetzalscale.core.instance;

import java.util.Objects;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;

/** An order to move an instance to a pool. */
public record MoveOrder(InstanceId instance, PoolId pool) {
    /** Rejects null components. */
    public MoveOrder {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(pool, "pool");
    }
}
