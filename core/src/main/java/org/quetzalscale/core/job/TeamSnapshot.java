package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.TeamId;

/**
 * Share and limits of a team: part of the input of {@link JobScheduler}.
 *
 * @param weight its share's weight, above 0
 * @param jobLimit maximum units of its jobs: those that they hold plus the free ones
 * @param freeUnits units of its upper limit that are not granted to any holder
 */
public record TeamSnapshot(TeamId team, double weight, int jobLimit, int freeUnits) {
    /** Rejects null components. */
    public TeamSnapshot {
        Objects.requireNonNull(team, "team");
    }
}
