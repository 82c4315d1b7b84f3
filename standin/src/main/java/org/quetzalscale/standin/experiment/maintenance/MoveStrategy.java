package org.quetzalscale.standin.experiment.maintenance;

import java.util.List;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.placement.Move;
import org.quetzalscale.core.placement.PoolNeeds;

/** Decides which workers to move now. */
@FunctionalInterface
interface MoveStrategy {
    List<Move> moves(ConfigSnapshot snapshot, PoolNeeds needs, long nowMillis);
}
