package org.quetzalscale.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.id.TeamId;

/**
 * Weighted max-min fairness over several resources (dominant resource fairness), computed by
 * progressive filling: the dominant shares of all teams increase in proportion to their weights
 * until a team's demand is met or a resource that it needs is exhausted.
 */
public final class MaxMinShare {
    /** Tolerance for rounding errors, relative to a demand or a capacity. */
    private static final double ROUNDING = 1e-9;

    private MaxMinShare() {}

    /**
     * Divides the capacity among the teams.
     *
     * @return the entitlement of each team, at most its demand and its upper limit
     */
    public static Map<TeamId, Resources> divide(Resources capacity, List<TeamDemand> demands) {
        Map<TeamId, Resources> entitled = new TreeMap<>();
        List<Allocation> unsaturated = new ArrayList<>();
        for (TeamDemand demand : demands) {
            entitled.put(demand.team(), Resources.NONE);
            Resources limited = demand.limitedDemand();
            double dominant = limited.dominantPart(capacity);
            if (dominant > 0) {
                unsaturated.add(new Allocation(demand.team(), limited, demand.weight() / dominant));
            }
        }
        double[] free = capacity.parts();
        removeSaturated(unsaturated, free, capacity.parts());
        while (!unsaturated.isEmpty()) {
            double step = largestIncrease(unsaturated, free);
            for (Allocation allocation : unsaturated) {
                allocation.increase(step, free);
                entitled.put(allocation.team, allocation.demand.times(allocation.fraction));
            }
            unsaturated.removeIf(allocation -> allocation.fraction >= 1 - ROUNDING);
            removeSaturated(unsaturated, free, capacity.parts());
        }
        return entitled;
    }

    /**
     * Returns the largest increase, in dominant share per unit of weight, until the first demand is
     * met or the first resource is exhausted.
     */
    private static double largestIncrease(List<Allocation> unsaturated, double[] free) {
        double step = Double.MAX_VALUE;
        double[] rates = new double[free.length];
        for (Allocation allocation : unsaturated) {
            step = Math.min(step, (1 - allocation.fraction) / allocation.rate);
            double[] parts = allocation.demand.parts();
            for (int i = 0; i < rates.length; i++) {
                rates[i] += parts[i] * allocation.rate;
            }
        }
        for (int i = 0; i < rates.length; i++) {
            if (rates[i] > 0) {
                step = Math.min(step, Math.max(0, free[i]) / rates[i]);
            }
        }
        return step;
    }

    /** Removes the teams that need a resource of which nothing is free. */
    private static void removeSaturated(
            List<Allocation> unsaturated, double[] free, double[] capacity) {
        unsaturated.removeIf(
                allocation -> {
                    double[] parts = allocation.demand.parts();
                    for (int i = 0; i < free.length; i++) {
                        if (parts[i] > 0 && free[i] <= ROUNDING * capacity[i]) {
                            return true;
                        }
                    }
                    return false;
                });
    }

    /** The demand of a team and the fraction of it that is allocated. */
    private static final class Allocation {
        private final TeamId team;
        private final Resources demand;
        private final double rate;
        private double fraction;

        private Allocation(TeamId team, Resources demand, double rate) {
            this.team = team;
            this.demand = demand;
            this.rate = rate;
        }

        private void increase(double step, double[] free) {
            double added = step * rate;
            fraction += added;
            double[] parts = demand.parts();
            for (int i = 0; i < free.length; i++) {
                free[i] -= parts[i] * added;
            }
        }
    }
}
