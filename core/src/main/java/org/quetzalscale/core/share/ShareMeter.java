package org.quetzalscale.core.share;

import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.id.TeamId;

/**
 * Measures how far each team is from its share over time: the dominant part of the fleet that it
 * was entitled to but did not have, relative to its entitlement. Not safe for use by several
 * threads.
 */
public final class ShareMeter {
    private final Map<TeamId, Sums> sums = new TreeMap<>();
    private Map<TeamId, Resources> entitled = Map.of();
    private Map<TeamId, Resources> used = Map.of();
    private Resources capacity = Resources.NONE;
    private long sinceMillis;

    /**
     * Notes what holds from now until the next call.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param fleet capacity of the whole fleet
     */
    public void observe(
            long nowMillis,
            Resources fleet,
            Map<TeamId, Resources> entitledNow,
            Map<TeamId, Resources> usedNow) {
        long elapsedMillis = nowMillis - sinceMillis;
        entitled.forEach((team, part) -> add(team, part, elapsedMillis));
        capacity = fleet;
        entitled = Map.copyOf(entitledNow);
        used = Map.copyOf(usedNow);
        sinceMillis = nowMillis;
    }

    /** Part of a team's entitlement that it did not get: 0 to 1, 0 without an entitlement. */
    public double distance(TeamId team) {
        Sums sum = sums.get(team);
        return sum == null || sum.entitled == 0 ? 0 : sum.missing / sum.entitled;
    }

    /** What a team had beyond its entitlement, relative to the entitlement. */
    public double excess(TeamId team) {
        Sums sum = sums.get(team);
        return sum == null || sum.entitled == 0 ? 0 : sum.beyond / sum.entitled;
    }

    /** Distance of each team that was observed. */
    public Map<TeamId, Double> distances() {
        Map<TeamId, Double> distances = new TreeMap<>();
        sums.keySet().forEach(team -> distances.put(team, distance(team)));
        return distances;
    }

    private void add(TeamId team, Resources part, long elapsedMillis) {
        double due = part.dominantPart(capacity);
        double had = used.getOrDefault(team, Resources.NONE).dominantPart(capacity);
        Sums sum = sums.computeIfAbsent(team, key -> new Sums());
        sum.entitled += due * elapsedMillis;
        sum.missing += Math.max(0, due - had) * elapsedMillis;
        sum.beyond += Math.max(0, had - due) * elapsedMillis;
    }

    /** Sums over time, in parts of the fleet times milliseconds. */
    private static final class Sums {
        private double entitled;
        private double missing;
        private double beyond;
    }
}
