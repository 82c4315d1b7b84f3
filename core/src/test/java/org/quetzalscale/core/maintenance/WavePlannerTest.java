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

    // Guards against a second rack of a pool that the budget could not lose.
    @Test
    void drainsOneRackUnlessTheBudgetAllowsMore() {
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2");
        fleet.pool("lab", 1, false);
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2", "b1");
    }

    // Guards against two zones out of service at once.
    @Test
    void drainsOneZoneAtATime() {
        fleet.pool("lab", 0, false);
        assertThat(drains(Set.of(), Set.of())).containsExactly("a1", "a2", "b1");
    }

    // Guards against drains that ignore unplanned failures.
    @Test
    void countsFailedWorkersAgainstTheBudget() {
        assertThat(drains(Set.of("c1"), Set.of())).containsExactly("a1");
        // A worker that is down already costs no healthy one.
        assertThat(drains(Set.of("c1", "b1"), Set.of())).containsExactly("b1");
    }

    // Guards against maintenance during a burst.
    @Test
    void leavesBurstingPoolsAlone() {
        assertThat(drains(Set.of(), Set.of(new PoolId("lab")))).isEmpty();
    }
}
