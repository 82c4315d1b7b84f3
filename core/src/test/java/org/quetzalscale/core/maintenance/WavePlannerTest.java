package org.quetzalscale.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;

class WavePlannerTest {
    private final Fleets fleet =
            new Fleets()
                    .put("w", new WaveSpec(List.of(), WaveAction.REBOOT, 10, false, false, 1))
                    .pool("lab", 2, false)
                    .worker("a1", "lab", "z1", "r1")
                    .worker("a2", "lab", "z1", "r1")
                    .worker("b1", "lab", "z1", "r2")
                    .worker("c1", "lab", "z2", "r3");

    private List<String> drains(Set<String> down, Set<PoolId> bursting) {
        FleetState state =
                new FleetState(fleet.build(), w -> !down.contains(w.value()), Map.of(), bursting);
        return WavePlanner.plan(state).drains().stream()
                .map(PlannedDrain::worker)
                .map(WorkerId::value)
                .toList();
    }

    // Guards against draining a second rack whose failure would break the pool's budget.
    @Test
    void drainsOneRackUnlessTheBudgetAllowsMore() {
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2");
        fleet.pool("lab", 1, false);
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2", "b1");
    }

    // Guards against maintenance in two zones at once.
    @Test
    void drainsOneZoneAtATime() {
        fleet.pool("lab", 0, false);
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2", "b1");
    }

    // Guards against drains that ignore workers lost to unplanned failures.
    @Test
    void countsFailedWorkersAgainstTheBudget() {
        assertThat(drains(Set.of("c1"), Set.of())).containsExactly("a1");
        // Draining a worker that is already down does not reduce the healthy workers.
        assertThat(drains(Set.of("c1", "b1"), Set.of())).containsExactly("b1");
    }

    // Guards against maintenance in a pool with a burst.
    @Test
    void leavesBurstingPoolsAlone() {
        assertThat(drains(Set.of(), Set.of(new PoolId("lab")))).isEmpty();
    }
}
