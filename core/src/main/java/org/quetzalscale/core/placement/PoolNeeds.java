package org.quetzalscale.core.placement;

import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * What pools need beyond their floors.
 *
 * @param workers workers that the work of a pool, waiting work included, would keep busy now
 * @param blocked pools whose maintenance waits because their budget has nothing to spare
 */
public record PoolNeeds(Map<PoolId, Integer> workers, Set<PoolId> blocked) {
    /** Copies the collections. */
    public PoolNeeds {
        workers = Map.copyOf(workers);
        blocked = Set.copyOf(blocked);
    }
}
