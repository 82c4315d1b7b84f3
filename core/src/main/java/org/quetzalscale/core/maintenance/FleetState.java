package org.quetzalscale.core.maintenance;

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;

/**
 * The input of the wave planner.
 *
 * @param live whether the platform lists a worker as live
 * @param waves rows of the waves that have started
 * @param bursting pools with more work than they can start at present
 */
public record FleetState(
        ConfigSnapshot snapshot,
        Predicate<WorkerId> live,
        Map<WaveId, WaveRow> waves,
        Set<PoolId> bursting) {
    /** Makes defensive copies of the collections. */
    public FleetState {
        waves = Map.copyOf(waves);
        bursting = Set.copyOf(bursting);
    }
}
