package org.quetzalscale.core.schedule;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;

/**
 * The load of the fleet as its owner knows it.
 *
 * @param epochMillis when the figures were made, in Unix milliseconds of the owner's clock
 * @param pools the load of each pool in which work waits
 * @param tokens for each organisation with a declared rate and known jobs, how many more jobs are
 *     within it
 */
public record LoadFigures(
        long epochMillis, Map<PoolId, PoolLoad> pools, Map<OrganisationId, Double> tokens) {
    /** Copies the maps. */
    public LoadFigures {
        pools = Map.copyOf(pools);
        tokens = Map.copyOf(tokens);
    }

    /**
     * The load of a pool.
     *
     * @param withinCoreSeconds estimated work of tasks that wait, of jobs within the rate, in core
     *     seconds by priority of the queue
     * @param excessCoreSeconds the same of jobs beyond the rate
     * @param completedPerSecond core seconds that the pool completes per second
     * @param shrinkPerSecond core seconds by which the backlog decreases per second; negative while
     *     it grows
     * @param freeCores processors that remain when what can start has started; 0 if none
     */
    public record PoolLoad(
            SortedMap<Integer, Double> withinCoreSeconds,
            double excessCoreSeconds,
            double completedPerSecond,
            double shrinkPerSecond,
            double freeCores) {
        /** Copies the map. */
        public PoolLoad {
            Objects.requireNonNull(withinCoreSeconds, "withinCoreSeconds");
            withinCoreSeconds = new TreeMap<>(withinCoreSeconds);
        }

        /** Work of all jobs that wait, in core seconds. */
        public double totalCoreSeconds() {
            return withinCoreSeconds(Integer.MAX_VALUE) + excessCoreSeconds;
        }

        /** Work within the rate that comes before or with a priority, in core seconds. */
        public double withinCoreSeconds(int priority) {
            double sum = 0;
            for (Map.Entry<Integer, Double> entry : withinCoreSeconds.entrySet()) {
                sum += entry.getKey() <= priority ? entry.getValue() : 0;
            }
            return sum;
        }
    }
}
