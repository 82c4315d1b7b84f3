package org.quetzalscale.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.billing.Audit;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;

class JobDriverTest {
    private static final long SETTLE_MILLIS = 400_000;

    private static void assertSettled(JobSimulation simulation) {
        assertThat(simulation.violations).isEmpty();
        for (JobId id : simulation.submitted) {
            assertThat(simulation.find(id).state().ended())
                    .as("final state of %s", simulation.find(id))
                    .isTrue();
        }
        assertThat(Audit.reconcile(simulation.ledger(), simulation.runner.executions())).isEmpty();
    }

    /** A burst of three teams beyond the fleet, with failing jobs, cancels and urgent work. */
    private static void burst(JobSimulation simulation, Random random, int jobs) {
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

    private static void disturb(JobSimulation simulation, Random random) {
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
        simulation.table.heal();
        simulation.runner.failRandomly(0);
        simulation.runner.reportFalseUsage(false);
    }

    @Nested
    class StraightPath {
        @Test
        void allJobsOfABurstEndOnceAndAreBilled() {
            JobSimulation simulation = new JobSimulation(1, 4, condition -> false);
            burst(simulation, new Random(1), 60);
            simulation.run(SETTLE_MILLIS);
            assertSettled(simulation);
        }
    }

    @Nested
    class UnderFaults {
        /**
         * Guards against jobs lost, run or billed twice by any mix of the faults of section 1.5.
         */
        @Property(tries = 20, seed = "4711")
        void everyJobEndsOnceAndTheLedgerEqualsTheExecutions(@ForAll long seed) {
            Random random = new Random(seed);
            JobSimulation simulation = new JobSimulation(seed, 4, condition -> false);
            burst(simulation, random, 40);
            disturb(simulation, random);
            simulation.run(SETTLE_MILLIS);
            assertSettled(simulation);
        }
    }
}
