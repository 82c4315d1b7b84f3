package org.quetzalscale.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.billing.Audit;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.table.Condition;

class JobDriverTest {
    private static final long SETTLE_MILLIS = 400_000;

    private static void assertAllEndedAndBilled(JobSimulation simulation) {
        assertThat(simulation.violations).isEmpty();
        for (JobId id : simulation.submitted) {
            assertThat(simulation.find(id).state().ended())
                    .as("final state of %s", simulation.find(id))
                    .isTrue();
        }
        assertThat(Audit.reconcile(simulation.ledger(), simulation.runner.executions())).isEmpty();
    }

    /**
     * Submits a burst of jobs of three teams that exceeds the capacity of the fleet, with failing,
     * cancelled and urgent jobs.
     */
    private static void submitBurst(JobSimulation simulation, Random random, int jobs) {
        for (int i = 0; i < jobs; i++) {
            String team = String.valueOf((char) ('a' + random.nextInt(3)));
            JobId id =
                    simulation.submit(
                            simulation.spec(
                                    team,
                                    1 + random.nextInt(3),
                                    200 + random.nextInt(8_000),
                                    random.nextInt(12) == 0,
                                    random.nextInt(8) == 0));
            if (random.nextInt(6) == 0) {
                simulation.time.schedule(
                        random.nextInt(10_000), () -> simulation.cancel(id, new TeamId(team)));
            }
            if (random.nextInt(5) == 0) {
                simulation.run(100);
            }
        }
    }

    private static void injectFaults(JobSimulation simulation, Random random) {
        simulation.runner.reportFalseUsage(true);
        simulation.runner.failRandomly(0.1);
        simulation.table.setDelayMillis(random.nextInt(60));
        simulation.table.failRandomly(random.nextLong(), 0.05);
        simulation.runner.failTasksOf(new WorkerId("w1"));
        for (int i = 0; i < 4; i++) {
            JobSimulation.Instance paused = simulation.instances.get(random.nextInt(2));
            paused.table.pause();
            simulation.run(500 + random.nextInt(9_000));
            paused.table.resume();
            simulation.run(random.nextInt(3_000));
            if (i == 1) {
                simulation.table.setDown(true);
                simulation.run(random.nextInt(20_000));
                simulation.table.setDown(false);
            }
            if (i == 2) {
                simulation.runner.lose(new WorkerId("w2"));
            }
        }
        simulation.table.clearFaults();
        simulation.runner.failRandomly(0);
        simulation.runner.reportFalseUsage(false);
    }

    @Nested
    class WithoutFaults {
        @Test
        void allJobsOfABurstEndOnceAndAreBilled() {
            JobSimulation simulation = new JobSimulation(1, 4, condition -> false);
            submitBurst(simulation, new Random(1), 60);
            simulation.run(SETTLE_MILLIS);
            assertAllEndedAndBilled(simulation);
        }
    }

    @Nested
    class UnderFaults {
        /**
         * Guards against jobs that are lost, run twice or billed twice under a mix of faults: false
         * usage reports, failing calls, slow and unavailable store, failing and lost workers, and
         * paused instances.
         */
        @Property(tries = 20, seed = "4711")
        void everyJobEndsOnceAndTheLedgerEqualsTheExecutions(@ForAll long seed) {
            Random random = new Random(seed);
            JobSimulation simulation = new JobSimulation(seed, 4, condition -> false);
            submitBurst(simulation, random, 40);
            injectFaults(simulation, random);
            simulation.run(SETTLE_MILLIS);
            assertAllEndedAndBilled(simulation);
        }
    }

    @Nested
    class LongOutage {
        /** Guards against task leases that expire while no instance can hold the lease of jobs. */
        @Test
        void storeOutageOfThreeMinutesEndsNoRunningTask() {
            JobSimulation simulation = new JobSimulation(5, 2, condition -> false);
            for (int i = 0; i < 8; i++) {
                simulation.submit(simulation.spec("a", 1, 30_000 + 40_000 * i, false, false));
            }
            simulation.run(5_000);
            simulation.table.setDown(true);
            simulation.run(180_000);
            simulation.table.setDown(false);
            simulation.run(SETTLE_MILLIS);
            assertAllEndedAndBilled(simulation);
            assertThat(simulation.runner.executions()).hasSize(8);
        }
    }

    @Nested
    class Fence {
        /**
         * Pauses the lease holder during a tick that starts a job on a worker, while another
         * instance fills the worker with an urgent job. Varies the time of the pause.
         */
        private static Set<String> violations(Predicate<Condition> omitted) {
            Set<String> violations = new TreeSet<>();
            for (int pauseAfter = 0; pauseAfter <= 200; pauseAfter += 10) {
                JobSimulation simulation = new JobSimulation(1, 1, omitted);
                simulation.table.setDelayMillis(60);
                simulation.run(5_000);
                JobSimulation.Instance holder =
                        simulation.instances.stream()
                                .filter(instance -> instance.keeper.current().isPresent())
                                .findFirst()
                                .orElseThrow();
                simulation.submit(simulation.spec("a", 8, 60_000, false, false));
                simulation.time.advance(60);
                holder.driver.tick();
                simulation.time.advance(pauseAfter);
                holder.table.pause();
                JobSimulation.Instance other =
                        simulation.instances.get(1 - simulation.instances.indexOf(holder));
                JobId urgent = new JobId("urgent");
                simulation.submitted.add(urgent);
                other.store.submit(
                        urgent,
                        simulation.spec("c", 5, 60_000, false, true),
                        simulation.time.nowMillis());
                simulation.run(12_000);
                holder.table.resume();
                simulation.run(100_000);
                violations.addAll(simulation.violations);
            }
            return violations;
        }

        @Test
        void holderPausedDuringATickOvercommitsNoWorker() {
            assertThat(violations(condition -> false)).isEmpty();
        }

        /** Shows that the test above detects a missing fence. */
        @Test
        void withoutTheFenceAWorkerIsOvercommitted() {
            assertThat(violations(condition -> condition.key().value().endsWith("/epoch")))
                    .contains("worker w0 has more than its slots");
        }
    }

    @Nested
    class UrgentWork {
        private static final long URGENT_START_MILLIS = 2_700;

        /** Guards against urgent jobs that wait for capacity which other teams have borrowed. */
        @Property(tries = 30, seed = "2700")
        void urgentJobsStartInTimeOnAFullFleet(@ForAll long seed) {
            Random random = new Random(seed);
            JobSimulation simulation = new JobSimulation(seed, 2, condition -> false);
            for (int i = 0; i < 40; i++) {
                String team = random.nextBoolean() ? "a" : "b";
                int slots = 1 + random.nextInt(2);
                simulation.submit(simulation.spec(team, slots, 60_000, false, false));
            }
            simulation.run(5_000 + random.nextInt(5_000));
            List<JobId> urgent = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                urgent.add(simulation.submit(simulation.spec("c", 1, 5_000, false, true)));
            }
            simulation.run(URGENT_START_MILLIS);
            for (JobId id : urgent) {
                assertThat(simulation.find(id).attempt()).isEqualTo(1);
            }
            assertThat(simulation.violations).isEmpty();
        }
    }

    @Nested
    class CancellationBurst {
        /** Guards against a burst of cancellations that uses up the write capacity of the store. */
        @Test
        void burstStaysWithinItsShareOfWritesAndEndsAllJobs() {
            JobSimulation simulation = new JobSimulation(3, 4, condition -> false);
            for (int i = 0; i < 400; i++) {
                simulation.submit(simulation.spec("a", 1, 60_000, false, false));
            }
            simulation.run(5_000);
            JobStore store = simulation.instances.get(0).store;
            CancellationBatcher batcher = new CancellationBatcher(store, simulation.time, 4);
            long before = simulation.table.actual().version();
            for (JobId id : simulation.submitted) {
                batcher.cancel(new Cancellation(new TeamId("a"), id));
            }
            int seconds = 6;
            for (int i = 0; i < seconds * 10; i++) {
                batcher.flush();
                simulation.run(100);
            }
            long renewals = seconds / 2 + 1;
            long finishes = 20;
            assertThat(simulation.table.actual().version() - before)
                    .isLessThanOrEqualTo(4 * seconds + 1 + renewals + finishes);
            assertThat(simulation.submitted)
                    .allSatisfy(
                            id ->
                                    assertThat(simulation.find(id).state())
                                            .isEqualTo(JobState.CANCELLED));
            assertThat(Audit.reconcile(simulation.ledger(), simulation.runner.executions()))
                    .isEmpty();
        }
    }

    @Nested
    class Unschedulable {
        @Test
        void jobLargerThanAnyWorkerIsSetAsideWithItsSizes() {
            JobSimulation simulation = new JobSimulation(4, 2, condition -> false);
            JobId id = simulation.submit(simulation.spec("a", 9, 1_000, false, false));
            simulation.run(5_000);
            assertThat(simulation.find(id).state()).isEqualTo(JobState.SET_ASIDE);
            assertThat(simulation.find(id).reason()).contains("9 slots", "8 slots");
        }
    }
}
