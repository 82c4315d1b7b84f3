package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.PoolId;

/**
 * What the configuration says of a pool.
 *
 * @param standby whether the pool's instances are switched off
 */
public record PoolPolicy(PoolId id, boolean standby) {
    /** Requires the id. */
    public PoolPolicy {
        Objects.requireNonNull(id, "id");
    }
}
