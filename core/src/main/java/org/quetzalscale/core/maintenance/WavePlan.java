package org.quetzalscale.core.maintenance;

import java.util.List;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * What waves and declarations drain next.
 *
 * @param due pools that need a worker above their floor for the maintenance that is next
 */
public record WavePlan(List<PlannedDrain> drains, Set<PoolId> due) {
    /** Copies the collections. */
    public WavePlan {
        drains = List.copyOf(drains);
        due = Set.copyOf(due);
    }
}
