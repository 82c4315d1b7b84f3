package org.quetzalscale.core.placement;

import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/** A move that is planned and not granted yet. */
public record Move(WorkerId worker, PoolId from, PoolId to) {}
