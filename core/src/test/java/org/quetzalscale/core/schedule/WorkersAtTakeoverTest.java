package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceState;

/** For which workers the jobs of earlier terms wait. */
final class WorkersAtTakeoverTest {
    private static final WorkerId FIRST = Samples.workerId(1);
    private static final WorkerId SECOND = Samples.workerId(2);

    private final WorkersAtTakeover workers = new WorkersAtTakeover();

    private static FleetInstance instance(int number, InstanceState state, WorkerId worker) {
        return new FleetInstance(
                new InstanceId("m-" + number), Samples.POOL, state, "", Optional.of(worker));
    }

    private List<WorkerId> unlisted() {
        return workers.unlisted(worker -> false);
    }

    /** Guards against a second run of a task on a worker whose entry is missing (TWICE). */
    @Test
    void containsEachWorkerThatWasUp() {
        assertThat(workers.areKnown()).isFalse();
        workers.update(List.of(instance(1, InstanceState.UP, FIRST)));

        assertThat(workers.areKnown()).isTrue();
        assertThat(unlisted()).containsExactly(FIRST);
        assertThat(workers.unlisted(FIRST::equals)).isEmpty();
    }

    /** Guards against a takeover that waits for as long as instances move between pools. */
    @Test
    void leavesOutWorkersThatStartedLater() {
        workers.update(
                List.of(
                        instance(1, InstanceState.UP, FIRST),
                        instance(2, InstanceState.MOVING, SECOND)));
        workers.update(
                List.of(
                        instance(1, InstanceState.UP, FIRST),
                        instance(2, InstanceState.UP, SECOND)));

        assertThat(unlisted()).containsExactly(FIRST);
    }

    /** Guards against a takeover that waits for a worker that has ended with its instance. */
    @Test
    void leavesOutWorkersWhoseInstanceIsNoLongerUp() {
        workers.update(List.of(instance(1, InstanceState.UP, FIRST)));
        workers.update(List.of(instance(1, InstanceState.DOWN, FIRST)));

        assertThat(unlisted()).isEmpty();
    }
}
