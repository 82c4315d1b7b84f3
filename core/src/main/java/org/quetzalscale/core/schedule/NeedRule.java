package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.PoolId;

/** Decides how many instances a pool needs. */
interface NeedRule {
    /** Learns what has happened until now, before the pools are asked for. */
    default void update(long nowMillis) {}

    /** Returns what is expected of the pool. */
    default PoolForecast.Expectation expectation(PoolId pool, long nowMillis) {
        return PoolForecast.Expectation.NONE;
    }

    /**
     * Returns what the pool needs.
     *
     * @param instanceCount number of instances that the pool has
     * @param equalShare number of instances that the pool had if all pools had the same
     */
    PoolTargets.Need need(PoolId pool, int instanceCount, double equalShare, long nowMillis);
}
