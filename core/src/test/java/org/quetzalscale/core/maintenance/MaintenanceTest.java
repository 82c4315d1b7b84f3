package org.quetzalscale.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.config.ConfigWrite;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.table.Transaction;

class MaintenanceTest {
    private static final int ACTIONS = 1_500;
    private static final long COMPLETION_MILLIS = 3_600_000;

    /** Runs a wave with all injected faults, until an invariant is violated. */
    private static MaintenanceSimulation runWithFaults(
            long seed, double failureShare, UnaryOperator<ConfigWrite> rule) {
        MaintenanceSimulation world = new MaintenanceSimulation(seed, failureShare, rule);
        world.wave(3, false, false, 1);
        for (int i = 0; i < ACTIONS && world.faults.isEmpty(); i++) {
            world.act();
        }
        return world;
    }

    // Guards against a violated budget, or a worker in two pools, in any interleaving of two
    // runners
    // with lost and late answers, outages, restarts, failed workers and edits by operators.
    @Property(tries = 150, seed = "20261204")
    void keepsBudgetsAndPoolsInEveryInterleaving(@ForAll long seed) {
        assertThat(runWithFaults(seed, 0.1, write -> write).faults).isEmpty();
    }

    // Guards against a simulation whose invariants hold only because it changes nothing.
    @Test
    void movesAndMaintainsWorkersUnderFaults() {
        MaintenanceSimulation world = runWithFaults(3, 0.1, write -> write);
        for (long seed = 4; seed < 20 && world.moves == 0; seed++) {
            world = runWithFaults(seed, 0.1, write -> write);
        }
        assertThat(world.moves).isPositive();
        assertThat((int) world.status().get("done")).isPositive();
    }

    // Guards against workers left out of service when a wave is aborted.
    @Property(tries = 40, seed = "20261205")
    void returnsAllWorkersWhenAborted(@ForAll long seed) {
        MaintenanceSimulation world = runWithFaults(seed, 0, write -> write);
        world.wave(3, false, true, 1);
        for (int i = 0; i < 6; i++) {
            for (String pool : List.of("lab", "shop")) {
                if (world.isDrainDeclared(pool, i)) {
                    world.toggleDrain(pool, i);
                }
            }
        }
        world.runCalmly(COMPLETION_MILLIS);
        assertThat(world.faults).isEmpty();
        assertThat(world.assignments())
                .extracting(AssignmentSpec::phase)
                .containsOnly(WorkerPhase.ACTIVE);
    }

    // Shows that the simulation detects violations: without their conditions, concurrent grants
    // violate budgets.
    @Test
    void findsThatBudgetsNeedTheirConditions() {
        UnaryOperator<ConfigWrite> withoutConditions =
                write ->
                        new ConfigWrite(
                                write.edits(),
                                new Transaction(List.of(), write.extra().mutations()));
        int broken = 0;
        for (long seed = 0; seed < 30; seed++) {
            broken += runWithFaults(seed, 0.1, withoutConditions).faults.isEmpty() ? 0 : 1;
        }
        assertThat(broken).isPositive();
    }

    @Nested
    class Progress {
        private final MaintenanceSimulation world = new MaintenanceSimulation(7, 0, w -> w);

        // Guards against a wave that never finishes without any faults.
        @Test
        void maintainsEveryWorkerOnce() {
            world.wave(3, false, false, 0.1);
            world.runCalmly(COMPLETION_MILLIS);
            assertThat(world.status())
                    .containsEntry("state", "finished")
                    .containsEntry("done", 15)
                    .containsEntry("total", 15);
            assertThat(world.faults).isEmpty();
        }

        // Guards against drains by a paused wave.
        @Test
        void drainsNothingWhilePaused() {
            world.wave(3, true, false, 0.1);
            world.runCalmly(300_000);
            assertThat(world.status())
                    .containsEntry("done", 0)
                    .containsEntry("inProgress", 0L)
                    .containsEntry("reason", "paused");
        }

        // Guards against a wave that continues although reboots fail.
        @Test
        void stopsWhenTooManyFail() {
            MaintenanceSimulation failing = new MaintenanceSimulation(7, 1, w -> w);
            failing.wave(2, false, false, 0.1);
            failing.runCalmly(COMPLETION_MILLIS);
            assertThat(failing.status()).containsEntry("state", "stopped");
            assertThat(failing.assignments())
                    .filteredOn(a -> a.phase() == WorkerPhase.FAILED)
                    .hasSizeBetween(1, 2);
        }

        // Guards against a declared drain that bypasses the budget, or doesn't end when withdrawn.
        @Test
        void drainsDeclaredWorkersWithinTheBudget() {
            for (int i = 0; i < 4; i++) {
                world.toggleDrain("lab", i);
            }
            world.runCalmly(200_000);
            assertThat(world.assignments())
                    .filteredOn(a -> a.phase() == WorkerPhase.DRAINED)
                    .hasSize(2);
            for (int i = 0; i < 4; i++) {
                world.toggleDrain("lab", i);
            }
            world.runCalmly(20_000);
            assertThat(world.assignments())
                    .extracting(AssignmentSpec::phase)
                    .containsOnly(WorkerPhase.ACTIVE);
        }
    }
}
