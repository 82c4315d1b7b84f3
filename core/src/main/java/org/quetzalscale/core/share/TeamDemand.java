package org.quetzalscale.core.share;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;

/**
 * The resources that a team could use at present.
 *
 * @param weight weight of the team's share, above 0
 * @param upperLimit largest number of slots that the team may use
 * @param demand resources of the team's running and waiting work together
 */
public record TeamDemand(TeamId team, double weight, int upperLimit, Resources demand) {
    /** Validates the weight and the limit. */
    public TeamDemand {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(demand, "demand");
        if (!(weight > 0) || upperLimit < 0) {
            throw new IllegalArgumentException(
                    team + " has weight " + weight + " and limit " + upperLimit);
        }
    }

    /** Returns the demand, scaled down in all resources to the upper limit of slots. */
    Resources limitedDemand() {
        return demand.slots() > upperLimit ? demand.times(upperLimit / demand.slots()) : demand;
    }
}
