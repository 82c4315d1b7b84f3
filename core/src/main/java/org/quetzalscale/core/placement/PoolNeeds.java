package org.quetzalscale.core.placement;

import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * The pools' demand for workers.
 *
 * @param workers number of workers that the running and waiting work of a pool would keep busy
 * @param due pools with due maintenance, which need one worker above their floor
 */
public record PoolNeeds(Map<PoolId, Integer> workers, Set<PoolId> due) {
    /** Makes defensive copies of the collections. */
    public PoolNeeds {
        workers = Map.copyOf(workers);
        due = Set.copyOf(due);
    }
}
