package org.quetzalscale.core.queue;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.limit.TeamLimiter;

/** A limiter that grants a fixed number of units per team, without a table. */
final class FakeTeamLimiter implements TeamLimiter {
    private final Map<TeamId, Integer> available = new HashMap<>();
    private final Map<TeamId, Integer> waiting = new HashMap<>();
    private boolean otherInstancesHaveUnits;

    FakeTeamLimiter grant(String team, int count) {
        available.merge(new TeamId(team), count, Integer::sum);
        return this;
    }

    FakeTeamLimiter otherInstancesHaveUnits() {
        otherInstancesHaveUnits = true;
        return this;
    }

    int available(String team) {
        return available.getOrDefault(new TeamId(team), 0);
    }

    int waiting(String team) {
        return waiting.getOrDefault(new TeamId(team), 0);
    }

    @Override
    public boolean tryAcquire(TeamId team) {
        if (available.getOrDefault(team, 0) == 0) {
            return false;
        }
        available.merge(team, -1, Integer::sum);
        return true;
    }

    @Override
    public void release(TeamId team) {
        available.merge(team, 1, Integer::sum);
    }

    @Override
    public boolean isLimitReached(TeamId team) {
        return !otherInstancesHaveUnits && available.getOrDefault(team, 0) == 0;
    }

    @Override
    public void addWaiting(TeamId team, int change) {
        waiting.merge(team, change, Integer::sum);
    }
}
