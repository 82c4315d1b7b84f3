package org.quetzalscale.core.maintenance;

import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/** A planned drain of a worker, not granted yet. */
public record PlannedDrain(WorkerId worker, PoolId pool, DrainReason reason) {}
