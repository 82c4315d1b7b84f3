package org.quetzalscale.standin.experiment.maintenance;

import java.util.List;
import org.quetzalscale.core.maintenance.FleetState;
import org.quetzalscale.core.maintenance.PlannedDrain;

/** Decides which workers to drain for maintenance now. */
@FunctionalInterface
interface WaveStrategy {
    List<PlannedDrain> drains(FleetState state);
}
