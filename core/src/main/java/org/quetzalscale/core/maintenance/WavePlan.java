package org.quetzalscale.core.maintenance;

import java.util.List;
import java.util.Set;
import org.quetzalscale.core.id.PoolId;

/**
 * The next drains of waves and of declared drains.
 *
 * @param due pools whose next maintenance needs one worker above their floor
 */
public record WavePlan(List<PlannedDrain> drains, Set<PoolId> due) {
    /** Makes defensive copies of the collections. */
    public WavePlan {
        drains = List.copyOf(drains);
        due = Set.copyOf(due);
    }
}
