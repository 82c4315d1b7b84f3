package org.quetzalscale.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.maintenance.Fleets;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.WorkerPhase;

class MovePlannerTest {
    private static final PoolId LAB = new PoolId("lab");
    private static final PoolId SHOP = new PoolId("shop");

    private final Fleets fleet = new Fleets();
    private final MovePlanner planner = new MovePlanner();
    private long nowMillis;

    MovePlannerTest() {
        for (String pool : new String[] {"lab", "shop", "spare"}) {
            fleet.pool(pool, 2, pool.equals("spare"));
            for (int i = 0; i < 4; i++) {
                fleet.worker(pool + i, pool, "z" + i, pool + i);
            }
        }
    }

    private void weights(double bufferCost, double moves, double share) {
        fleet.put("default", new DeploymentSpec(bufferCost, 1, moves, share));
    }

    /** Plans once per second and applies each move at once; returns the number of moves. */
    private int run(int seconds, IntFunction<Map<PoolId, Integer>> demand, Set<PoolId> due) {
        int moves = 0;
        for (int second = 0; second < seconds; second++) {
            nowMillis += 1_000;
            PoolNeeds needs = new PoolNeeds(demand.apply(second), due);
            for (Move move : planner.plan(fleet.build(), w -> true, needs, nowMillis)) {
                moves++;
                fleet.put(
                        move.worker().value(),
                        new AssignmentSpec(move.to(), WorkerPhase.ACTIVE, ""));
            }
        }
        return moves;
    }

    // Guards against moving workers back and forth when two pools have bursts in turn.
    @Test
    void doesNotThrashUnderAlternatingBursts() {
        weights(1, 1, 1);
        int moves = run(600, s -> Map.of(s / 5 % 2 == 0 ? LAB : SHOP, 5), Set.of());
        assertThat(moves).isLessThanOrEqualTo(2);
    }

    // Guards against a lasting shortage without borrowing, and a borrowed worker never returned.
    @Test
    void borrowsForALastingShortageAndReturnsTheWorkers() {
        weights(1, 1, 1);
        assertThat(run(120, s -> Map.of(LAB, 6), Set.of())).isEqualTo(2);
        assertThat(run(600, s -> Map.of(LAB, 1), Set.of())).isEqualTo(2);
        assertThat(run(600, s -> Map.of(), Set.of())).isZero();
    }

    // Guards against a spare pool that lends its workers and can't borrow for its own burst.
    @Test
    void letsTheSparePoolBorrowBack() {
        weights(1, 1, 1);
        run(200, s -> Map.of(LAB, 6), Set.of());
        assertThat(run(200, s -> Map.of(new PoolId("spare"), 4), Set.of())).isEqualTo(2);
    }

    // Guards against a pool at its floor that never gets maintenance.
    @Test
    void borrowsForMaintenanceOfAPoolAtItsFloor() {
        weights(1, 1, 0);
        fleet.pool("lab", 4, false);
        assertThat(run(120, s -> Map.of(), Set.of(LAB))).isEqualTo(1);
    }

    // Guards against weights without effect, and against borrowing without declared weights.
    @Test
    void decidesByTheDeclaredWeights() {
        assertThat(run(120, s -> Map.of(LAB, 6), Set.of())).isZero();
        weights(1, 100, 1);
        assertThat(run(120, s -> Map.of(LAB, 6), Set.of())).isZero();
        weights(1, 0.1, 1);
        assertThat(run(40, s -> Map.of(LAB, 6), Set.of())).isEqualTo(2);
    }
}
