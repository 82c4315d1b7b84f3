package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.PoolId;

/**
 * Configuration of a pool.
 *
 * @param standby whether the pool holds spare instances, which are switched off
 */
public record PoolPolicy(PoolId id, boolean standby) {
    /** Rejects a null id. */
    public PoolPolicy {
        Objects.requireNonNull(id, "id");
    }
}
