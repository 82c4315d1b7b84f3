package org.quetzalscale.core.share;

import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.id.TeamId;

/**
 * Measures over time how far each team is below its entitlement: the dominant share of the fleet
 * that it was entitled to but did not use, relative to the entitlement. Not thread-safe.
 */
public final class ShareMeter {
    private final Map<TeamId, Totals> totals = new TreeMap<>();
    private Map<TeamId, Resources> entitled = Map.of();
    private Map<TeamId, Resources> used = Map.of();
    private Resources capacity = Resources.NONE;
    private long observedMillis;

    /**
     * Records the entitlements and the usage that hold from now until the next call.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param fleet total capacity of the fleet
     * @param entitledNow entitlement of each team
     * @param usedNow resources in use by each team
     */
    public void observe(
            long nowMillis,
            Resources fleet,
            Map<TeamId, Resources> entitledNow,
            Map<TeamId, Resources> usedNow) {
        long elapsedMillis = nowMillis - observedMillis;
        entitled.forEach((team, entitlement) -> add(team, entitlement, elapsedMillis));
        capacity = fleet;
        entitled = Map.copyOf(entitledNow);
        used = Map.copyOf(usedNow);
        observedMillis = nowMillis;
    }

    /**
     * Returns the fraction of a team's entitlement that it did not use: 0 to 1, and 0 without an
     * entitlement.
     */
    public double distance(TeamId team) {
        Totals total = totals.get(team);
        return total == null || total.entitled == 0 ? 0 : total.missing / total.entitled;
    }

    /** Returns a team's usage above its entitlement, relative to the entitlement. */
    public double excess(TeamId team) {
        Totals total = totals.get(team);
        return total == null || total.entitled == 0 ? 0 : total.surplus / total.entitled;
    }

    /** Returns the distance of each observed team. */
    public Map<TeamId, Double> distances() {
        Map<TeamId, Double> distances = new TreeMap<>();
        totals.keySet().forEach(team -> distances.put(team, distance(team)));
        return distances;
    }

    private void add(TeamId team, Resources entitlement, long elapsedMillis) {
        double entitledShare = entitlement.dominantPart(capacity);
        double usedShare = used.getOrDefault(team, Resources.NONE).dominantPart(capacity);
        Totals total = totals.computeIfAbsent(team, key -> new Totals());
        total.entitled += entitledShare * elapsedMillis;
        total.missing += Math.max(0, entitledShare - usedShare) * elapsedMillis;
        total.surplus += Math.max(0, usedShare - entitledShare) * elapsedMillis;
    }

    /** Integrals over time, in dominant share times milliseconds. */
    private static final class Totals {
        private double entitled;
        private double missing;
        private double surplus;
    }
}
