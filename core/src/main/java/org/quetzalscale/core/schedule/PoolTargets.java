package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;

/**
 * Allocates the instances of a fleet to its pools.
 *
 * <p>Demand comes in alternating bursts, each larger than its pool. If there are enough instances,
 * each pool gets its current need and keeps part of its recent need, which decays over time.
 * Otherwise each pool gets its minimum and the same fraction of its need above the minimum.
 */
final class PoolTargets {
    /** Time constant of the exponential decay: a past need falls to 1/e in this time. */
    private static final double DECAY_MILLIS = 2_500;

    private final Map<PoolId, Double> decayedNeeds = new HashMap<>();
    private long updatedMillis;

    /**
     * The need of a pool, in instances.
     *
     * @param minimum what the pool keeps in any case
     * @param current what the pool needs now; not less than {@code minimum}
     * @param expected what the pool is expected to need, in place of its recent need; NaN if that
     *     is not known
     */
    record Need(double minimum, double current, double expected) {
        /** A need of a pool of whose future nothing is known. */
        Need(double minimum, double current) {
            this(minimum, current, Double.NaN);
        }

        private double lasting(double decayed) {
            return Math.max(current, Double.isNaN(expected) ? decayed : expected);
        }
    }

    /**
     * Returns the number of instances of each pool. Before each is rounded to the nearest integer,
     * their sum does not exceed the total.
     */
    Map<PoolId, Integer> allocate(Map<PoolId, Need> needs, int total, long nowMillis) {
        double decay = Math.exp(-(nowMillis - updatedMillis) / DECAY_MILLIS);
        updatedMillis = nowMillis;
        double minimum = 0;
        double need = 0;
        double decayedTotal = 0;
        for (Map.Entry<PoolId, Need> entry : needs.entrySet()) {
            double now = entry.getValue().current();
            double before = decayedNeeds.getOrDefault(entry.getKey(), now);
            decayedNeeds.put(entry.getKey(), entry.getValue().lasting(before * decay));
            minimum += entry.getValue().minimum();
            need += now;
            decayedTotal += decayedNeeds.get(entry.getKey());
        }
        Map<PoolId, Integer> targets = new HashMap<>();
        for (Map.Entry<PoolId, Need> entry : needs.entrySet()) {
            Need pool = entry.getValue();
            double decayed = decayedNeeds.get(entry.getKey());
            double target;
            if (need > total) {
                target =
                        pool.minimum()
                                + fraction(total - minimum, need - minimum)
                                        * (pool.current() - pool.minimum());
            } else {
                target =
                        pool.current()
                                + fraction(total - need, decayedTotal - need)
                                        * (decayed - pool.current());
            }
            targets.put(entry.getKey(), (int) Math.round(target));
        }
        return targets;
    }

    private static double fraction(double available, double wanted) {
        return wanted <= 0 ? 0 : Math.max(0, Math.min(1, available / wanted));
    }
}
