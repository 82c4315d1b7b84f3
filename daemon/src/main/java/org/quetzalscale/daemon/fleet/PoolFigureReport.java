package org.quetzalscale.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.schedule.PoolFigures;
import org.tinylog.Logger;

/** Logs each change of a pool's target, and publishes the figures of the pools as metrics. */
final class PoolFigureReport {
    private final FleetMetrics metrics;
    private final Map<PoolId, Integer> loggedTargets = new HashMap<>();

    PoolFigureReport(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    void report(List<PoolFigures> pools) {
        for (PoolFigures pool : pools) {
            metrics.pool(pool);
            Integer before = loggedTargets.put(pool.pool(), pool.target());
            if (before == null || before != pool.target()) {
                log(pool);
            }
        }
    }

    private static void log(PoolFigures pool) {
        Logger.info(
                "event=pool_target pool={} instances={} target={} need={} forecast={}"
                        + " confidence={} period_ms={} misses={}",
                pool.pool(),
                pool.instances(),
                pool.target(),
                Math.round(pool.need()),
                Math.round(pool.forecast()),
                Math.round(pool.confidence() * 100) / 100.0,
                pool.periodMillis(),
                pool.misses());
    }
}
