package org.quetzalscale.core.maintenance;

import java.util.List;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * What waves and declarations drain next.
 *
 * @param blocked pools whose maintenance waits because their budget has nothing to spare
 */
public record WavePlan(List<PlannedDrain> drains, Set<PoolId> blocked) {
    /** Copies the collections. */
    public WavePlan {
        drains = List.copyOf(drains);
        blocked = Set.copyOf(blocked);
    }
}
