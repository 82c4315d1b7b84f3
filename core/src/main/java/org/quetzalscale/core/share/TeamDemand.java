package org.quetzalscale.core.share;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;

/**
 * What a team could use now.
 *
 * @param weight its share's weight, above 0
 * @param upperLimit most units (slots) that it may use
 * @param demand what its running and waiting work takes together
 */
public record TeamDemand(TeamId team, double weight, int upperLimit, Resources demand) {
    /** Checks the weight. */
    public TeamDemand {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(demand, "demand");
        if (!(weight > 0) || upperLimit < 0) {
            throw new IllegalArgumentException(
                    team + " has weight " + weight + " and limit " + upperLimit);
        }
    }

    /** The demand scaled down to the upper limit. */
    Resources limitedDemand() {
        return demand.slots() > upperLimit ? demand.times(upperLimit / demand.slots()) : demand;
    }
}
