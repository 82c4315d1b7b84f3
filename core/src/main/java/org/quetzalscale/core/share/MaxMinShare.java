package org.quetzalscale.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.id.TeamId;

/**
 * Weighted max-min fairness over several resources: all teams' dominant parts grow in proportion to
 * their weights until a team has what it demands or a resource that it needs is used up.
 */
public final class MaxMinShare {
    private static final double ROUNDING = 1e-9;

    private MaxMinShare() {}

    /**
     * Divides the capacity.
     *
     * @return what each team is entitled to; never above its demand or its upper limit
     */
    public static Map<TeamId, Resources> divide(Resources capacity, List<TeamDemand> demands) {
        Map<TeamId, Resources> entitled = new TreeMap<>();
        List<Filling> growing = new ArrayList<>();
        for (TeamDemand demand : demands) {
            entitled.put(demand.team(), Resources.NONE);
            Resources limited = demand.limitedDemand();
            double dominant = limited.dominantPart(capacity);
            if (dominant > 0) {
                growing.add(new Filling(demand.team(), limited, demand.weight() / dominant));
            }
        }
        double[] free = capacity.parts();
        removeBlocked(growing, free, capacity.parts());
        while (!growing.isEmpty()) {
            double step = largestStep(growing, free);
            for (Filling filling : growing) {
                filling.grow(step, free);
                entitled.put(filling.team, filling.demand.times(filling.filled));
            }
            growing.removeIf(filling -> filling.filled >= 1 - ROUNDING);
            removeBlocked(growing, free, capacity.parts());
        }
        return entitled;
    }

    /** How far all may grow, in dominant part per weight, until a demand or a resource ends. */
    private static double largestStep(List<Filling> growing, double[] free) {
        double step = Double.MAX_VALUE;
        double[] rates = new double[free.length];
        for (Filling filling : growing) {
            step = Math.min(step, (1 - filling.filled) / filling.rate);
            double[] parts = filling.demand.parts();
            for (int i = 0; i < rates.length; i++) {
                rates[i] += parts[i] * filling.rate;
            }
        }
        for (int i = 0; i < rates.length; i++) {
            if (rates[i] > 0) {
                step = Math.min(step, Math.max(0, free[i]) / rates[i]);
            }
        }
        return step;
    }

    private static void removeBlocked(List<Filling> growing, double[] free, double[] capacity) {
        growing.removeIf(
                filling -> {
                    double[] parts = filling.demand.parts();
                    for (int i = 0; i < free.length; i++) {
                        if (parts[i] > 0 && free[i] <= ROUNDING * capacity[i]) {
                            return true;
                        }
                    }
                    return false;
                });
    }

    /** A team's demand and the fraction of it that is filled. */
    private static final class Filling {
        private final TeamId team;
        private final Resources demand;
        private final double rate;
        private double filled;

        private Filling(TeamId team, Resources demand, double rate) {
            this.team = team;
            this.demand = demand;
            this.rate = rate;
        }

        private void grow(double step, double[] free) {
            double grown = step * rate;
            filled += grown;
            double[] parts = demand.parts();
            for (int i = 0; i < free.length; i++) {
                free[i] -= parts[i] * grown;
            }
        }
    }
}
