package org.quetzalscale.core.limit;

import org.quetzalscale.core.id.TeamId;

/**
 * Enforces the upper limits of teams on this instance. One unit permits one running request.
 * Thread-safe.
 */
public interface TeamLimiter {
    /** Acquires a unit for one request; returns false if this instance has no free unit. */
    boolean tryAcquire(TeamId team);

    /** Releases a unit that {@link #tryAcquire} acquired. */
    void release(TeamId team);

    /**
     * Whether the team uses its whole limit across all instances, according to the row that this
     * instance read last. Returns false before the first read.
     */
    boolean isLimitReached(TeamId team);

    /**
     * Adjusts the number of waiting requests of the team, which is part of its demand.
     *
     * @param change number to add; may be negative
     */
    void addWaiting(TeamId team, int change);
}
