package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.PoolId;

/**
 * What the balancer knows and decided of a pool.
 *
 * @param instances instances that the pool has or is getting
 * @param target instances that the pool should have
 * @param need instances that the known work needs, and at least those that the pool keeps
 * @param forecast instances that the pool is expected to need or keep; 0 without a forecast
 * @param confidence correlation of the pool's arrivals with those of one period before, 0 to 1; 0
 *     without a forecast
 * @param periodMillis period of the arrivals in milliseconds; 0 without a forecast
 * @param misses forecasts that were wrong, as far back as arrivals are known
 */
public record PoolFigures(
        PoolId pool,
        int instances,
        int target,
        double need,
        double forecast,
        double confidence,
        long periodMillis,
        int misses) {
    /** Rejects a null pool. */
    public PoolFigures {
        Objects.requireNonNull(pool, "pool");
    }
}
