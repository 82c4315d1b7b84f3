package org.quetzalscale.daemon;

import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.limit.TeamUnits;

/** Grants every unit. Upper limits are not enforced until the blocks of core.limit are wired. */
final class UnenforcedUnits implements TeamUnits {
    @Override
    public boolean tryAcquire(TeamId team) {
        return true;
    }

    @Override
    public void release(TeamId team) {
        // Nothing was counted.
    }

    @Override
    public boolean isUsedUp(TeamId team) {
        return false;
    }

    @Override
    public void waiting(TeamId team, int count) {
        // Nothing is dealt by demand.
    }
}
