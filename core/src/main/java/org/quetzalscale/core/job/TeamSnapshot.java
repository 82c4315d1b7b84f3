package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;

/**
 * A team as the scheduler sees it.
 *
 * @param weight its share's weight, above 0
 * @param jobLimit most units that its jobs may hold: what they hold and what is free
 * @param freeUnits units of its upper limit that nobody holds
 */
public record TeamSnapshot(TeamId team, double weight, int jobLimit, int freeUnits) {
    /** Requires the team. */
    public TeamSnapshot {
        Objects.requireNonNull(team, "team");
    }
}
