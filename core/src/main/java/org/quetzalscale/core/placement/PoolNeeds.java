package org.quetzalscale.core.placement;

import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * What pools need beyond their floors.
 *
 * @param workers workers that the work of a pool, waiting work included, would keep busy now
 * @param due pools that need a worker above their floor for maintenance
 */
public record PoolNeeds(Map<PoolId, Integer> workers, Set<PoolId> due) {
    /** Copies the collections. */
    public PoolNeeds {
        workers = Map.copyOf(workers);
        due = Set.copyOf(due);
    }
}
