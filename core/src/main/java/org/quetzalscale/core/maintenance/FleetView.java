package org.quetzalscale.core.maintenance;

import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * This instance's knowledge of the fleet that is not stored in the table.
 *
 * @param live whether the platform lists a worker as live
 * @param activity reports the work that runs on a worker
 * @param bursting supplies the pools with more work than they can start at present
 */
public record FleetView(
        Predicate<WorkerId> live, WorkerActivity activity, Supplier<Set<PoolId>> bursting) {}
