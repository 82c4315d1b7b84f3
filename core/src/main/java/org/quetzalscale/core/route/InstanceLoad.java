package org.quetzalscale.core.route;

import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * Load of one instance, as reported to its siblings.
 *
 * @param inFlight requests in flight by worker; workers without requests are left out
 * @param demand requests in flight and waiting by pool
 */
public record InstanceLoad(Map<WorkerId, Integer> inFlight, Map<PoolId, Integer> demand) {
    /** No load. */
    public static final InstanceLoad NONE = new InstanceLoad(Map.of(), Map.of());

    /** Copies the counts. */
    public InstanceLoad {
        inFlight = Map.copyOf(inFlight);
        demand = Map.copyOf(demand);
    }
}
