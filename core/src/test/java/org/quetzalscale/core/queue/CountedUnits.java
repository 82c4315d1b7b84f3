package org.quetzalscale.core.queue;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.limit.TeamLimiter;

/** Units of one instance that has its whole block from the start. */
final class CountedUnits implements TeamLimiter {
    private final Map<TeamId, Integer> free = new HashMap<>();
    private final Map<TeamId, Integer> waiting = new HashMap<>();
    private boolean moreElsewhere;

    CountedUnits grant(String team, int count) {
        free.merge(new TeamId(team), count, Integer::sum);
        return this;
    }

    CountedUnits moreElsewhere() {
        moreElsewhere = true;
        return this;
    }

    int free(String team) {
        return free.getOrDefault(new TeamId(team), 0);
    }

    int waiting(String team) {
        return waiting.getOrDefault(new TeamId(team), 0);
    }

    @Override
    public boolean tryAcquire(TeamId team) {
        if (free.getOrDefault(team, 0) == 0) {
            return false;
        }
        free.merge(team, -1, Integer::sum);
        return true;
    }

    @Override
    public void release(TeamId team) {
        free.merge(team, 1, Integer::sum);
    }

    @Override
    public boolean isLimitReached(TeamId team) {
        return !moreElsewhere && free.getOrDefault(team, 0) == 0;
    }

    @Override
    public void addWaiting(TeamId team, int change) {
        waiting.merge(team, change, Integer::sum);
    }
}
