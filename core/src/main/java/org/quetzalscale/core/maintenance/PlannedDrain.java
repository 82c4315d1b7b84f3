package org.quetzalscale.core.maintenance;

import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/** A drain that is planned and not granted yet. */
public record PlannedDrain(WorkerId worker, PoolId pool, DrainReason reason) {}
