package org.quetzalscale.core.maintenance;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * What this instance knows of the fleet beyond the table.
 *
 * @param live whether the platform lists a worker as live
 * @param activity what runs on a worker
 * @param bursting pools that have more work than they can start now
 */
public record FleetView(
        Predicate<WorkerId> live, WorkerActivity activity, Supplier<Set<PoolId>> bursting) {}
