package org.quetzalscale.core.limit;

import org.quetzalscale.core.id.TeamId;

/** The units of teams' upper limits that this instance may run. Safe for several threads. */
public interface TeamLimiter {
    /** Takes a unit for one running request; false if this instance has none left. */
    boolean tryAcquire(TeamId team);

    /** Gives a unit back that {@link #tryAcquire} took. */
    void release(TeamId team);

    /**
     * Whether the team runs its whole limit across the fleet, as far as this instance knows. False
     * if it knows nothing of the team yet.
     */
    boolean isLimitReached(TeamId team);

    /**
     * Tells that more or fewer requests of the team wait here.
     *
     * @param change added to the number of waiting requests
     */
    void addWaiting(TeamId team, int change);
}
