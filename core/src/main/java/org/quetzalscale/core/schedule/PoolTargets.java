package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;

/**
 * Divides the instances of a fleet among its pools.
 *
 * <p>Demand comes in bursts by turns, each more than its pool holds. While there are enough
 * instances, each pool has what it needs now and keeps what it needed a moment ago; when there are
 * not, all give up the same part of what they need beyond their least.
 */
final class PoolTargets {
    /** Time in which a need that is over falls to a third. */
    private static final double DECAY_MILLIS = 2_500;

    private final Map<PoolId, Double> remembered = new HashMap<>();
    private long updatedMillis;

    /**
     * What a pool asks for, in instances.
     *
     * @param least what it keeps in any case
     * @param need what it needs now; at least {@code least}
     */
    record Need(double least, double need) {}

    /** The number of instances of each pool; their sum is not above the total. */
    Map<PoolId, Integer> divide(Map<PoolId, Need> needs, int total, long nowMillis) {
        double decay = Math.exp(-(nowMillis - updatedMillis) / DECAY_MILLIS);
        updatedMillis = nowMillis;
        double least = 0;
        double need = 0;
        double kept = 0;
        for (Map.Entry<PoolId, Need> entry : needs.entrySet()) {
            double now = entry.getValue().need();
            double before = remembered.getOrDefault(entry.getKey(), now);
            remembered.put(entry.getKey(), Math.max(now, before * decay));
            least += entry.getValue().least();
            need += now;
            kept += remembered.get(entry.getKey());
        }
        Map<PoolId, Integer> targets = new HashMap<>();
        for (Map.Entry<PoolId, Need> entry : needs.entrySet()) {
            Need pool = entry.getValue();
            double memory = remembered.get(entry.getKey());
            double target;
            if (need > total) {
                target =
                        pool.least()
                                + part(total - least, need - least) * (pool.need() - pool.least());
            } else {
                target = pool.need() + part(total - need, kept - need) * (memory - pool.need());
            }
            targets.put(entry.getKey(), (int) Math.round(target));
        }
        return targets;
    }

    private static double part(double available, double wanted) {
        return wanted <= 0 ? 0 : Math.max(0, Math.min(1, available / wanted));
    }
}
