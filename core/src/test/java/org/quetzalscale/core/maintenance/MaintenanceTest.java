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
    private static final long ENOUGH_MILLIS = 3_600_000;

    /** Runs a wave under everything that goes wrong. */
    private static MaintenanceSimulation troubled(
            long seed, double failureShare, UnaryOperator<ConfigWrite> rule) {
        MaintenanceSimulation world = new MaintenanceSimulation(seed, failureShare, rule);
        world.wave(3, false, false, 1);
        for (int i = 0; i < ACTIONS && world.faults.isEmpty(); i++) {
            world.act();
        }
        return world;
    }

    // Guards against a budget broken, or a worker in two pools, in any interleaving of two runners
    // with lost and late answers, outages, restarts, failed workers and operators' edits.
    @Property(tries = 150, seed = "20261204")
    void keepsBudgetsAndPoolsInEveryInterleaving(@ForAll long seed) {
        assertThat(troubled(seed, 0.1, write -> write).faults).isEmpty();
    }

    // Guards against a property that holds because nothing happens.
    @Test
    void movesAndMaintainsWorkersUnderTrouble() {
        MaintenanceSimulation world = troubled(3, 0.1, write -> write);
        for (long seed = 4; seed < 20 && world.moves == 0; seed++) {
            world = troubled(seed, 0.1, write -> write);
        }
        assertThat(world.moves).isPositive();
        assertThat((int) world.status().get("done")).isPositive();
    }

    // Guards against workers left out of service when a wave ends early.
    @Property(tries = 40, seed = "20261205")
    void returnsAllWorkersWhenAborted(@ForAll long seed) {
        MaintenanceSimulation world = troubled(seed, 0, write -> write);
        world.wave(3, false, true, 1);
        for (int i = 0; i < 6; i++) {
            for (String pool : List.of("lab", "shop")) {
                if (world.isDrainDeclared(pool, i)) {
                    world.toggleDrain(pool, i);
                }
            }
        }
        world.runCalmly(ENOUGH_MILLIS);
        assertThat(world.faults).isEmpty();
        assertThat(world.assignments())
                .extracting(AssignmentSpec::phase)
                .containsOnly(WorkerPhase.ACTIVE);
    }

    // The property above must be able to fail: budgets read without their conditions break.
    @Test
    void findsThatBudgetsNeedTheirConditions() {
        UnaryOperator<ConfigWrite> wrong =
                write ->
                        new ConfigWrite(
                                write.edits(),
                                new Transaction(List.of(), write.extra().mutations()));
        int broken = 0;
        for (long seed = 0; seed < 30; seed++) {
            broken += troubled(seed, 0.1, wrong).faults.isEmpty() ? 0 : 1;
        }
        assertThat(broken).isPositive();
    }

    @Nested
    class Progress {
        private final MaintenanceSimulation world = new MaintenanceSimulation(7, 0, w -> w);

        // Guards against a wave that never ends although nothing hinders it.
        @Test
        void maintainsEveryWorkerOnce() {
            world.wave(3, false, false, 0.1);
            world.runCalmly(ENOUGH_MILLIS);
            assertThat(world.status())
                    .containsEntry("state", "finished")
                    .containsEntry("done", 15)
                    .containsEntry("total", 15);
            assertThat(world.faults).isEmpty();
        }

        // Guards against drains under a paused wave.
        @Test
        void drainsNothingWhilePaused() {
            world.wave(3, true, false, 0.1);
            world.runCalmly(300_000);
            assertThat(world.status())
                    .containsEntry("done", 0)
                    .containsEntry("inProgress", 0L)
                    .containsEntry("reason", "paused");
        }

        // Guards against a wave that goes on while reboots fail.
        @Test
        void stopsWhenTooManyFail() {
            MaintenanceSimulation failing = new MaintenanceSimulation(7, 1, w -> w);
            failing.wave(2, false, false, 0.1);
            failing.runCalmly(ENOUGH_MILLIS);
            assertThat(failing.status()).containsEntry("state", "stopped");
            assertThat(failing.assignments())
                    .filteredOn(a -> a.phase() == WorkerPhase.FAILED)
                    .hasSizeBetween(1, 2);
        }

        // Guards against a declared drain that bypasses the budget, or is not taken back.
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
