package org.quetzalscale.core.maintenance;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.WorkerPhase;

/**
 * The availability budget of a pool.
 *
 * @param healthy active workers that the platform lists as live
 * @param floor minimum number of workers that must stay available
 */
public record PoolBudget(int healthy, int floor) {
    /** Returns how many more workers may be drained; negative below the floor. */
    public int spare() {
        return healthy - floor;
    }

    /**
     * Returns the budget of one pool.
     *
     * @param live whether the platform lists the worker as live; failed, unknown and leaving
     *     workers are not
     */
    public static PoolBudget of(ConfigSnapshot snapshot, PoolId pool, Predicate<WorkerId> live) {
        return all(snapshot, live).getOrDefault(pool, new PoolBudget(0, floor(snapshot, pool)));
    }

    /** Returns the budgets of all pools. */
    public static Map<PoolId, PoolBudget> all(ConfigSnapshot snapshot, Predicate<WorkerId> live) {
        Map<PoolId, PoolBudget> budgets = new TreeMap<>();
        snapshot.all(Kind.POOLS)
                .forEach(
                        (name, versioned) ->
                                budgets.put(
                                        new PoolId(name),
                                        new PoolBudget(
                                                0, ((PoolSpec) versioned.spec()).minAvailable())));
        snapshot.all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) -> {
                            AssignmentSpec assignment = (AssignmentSpec) versioned.spec();
                            if (assignment.phase() == WorkerPhase.ACTIVE
                                    && live.test(new WorkerId(name))) {
                                budgets.computeIfPresent(
                                        assignment.pool(),
                                        (pool, budget) ->
                                                new PoolBudget(budget.healthy + 1, budget.floor));
                            }
                        });
        return budgets;
    }

    private static int floor(ConfigSnapshot snapshot, PoolId pool) {
        return snapshot.pool(pool).map(PoolSpec::minAvailable).orElse(0);
    }
}
