package org.quetzalscale.core.placement;

import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/** A planned move of a worker between pools, not granted yet. */
public record Move(WorkerId worker, PoolId from, PoolId to) {}
