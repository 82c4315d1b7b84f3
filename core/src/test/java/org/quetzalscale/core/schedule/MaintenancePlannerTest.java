package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.instance.WaveRequest;
import org.quetzalscale.core.task.JobDefinition;

final class MaintenancePlannerTest extends SchedulerFixture {
    private static final long DOWN_MILLIS = 2_000;
    private static final int WORKERS = 6;

    MaintenancePlannerTest() {
        super(Samples.policy(NO_CAP));
    }

    private static InstanceId instance(int number) {
        return new InstanceId("m-" + number);
    }

    private static FleetInstance up(int number, int worker) {
        return new FleetInstance(
                instance(number),
                Samples.POOL,
                InstanceState.UP,
                "",
                Optional.of(Samples.workerId(worker)));
    }

    private static FleetInstance down(int number) {
        return new FleetInstance(
                instance(number), Samples.POOL, InstanceState.MAINTENANCE, "", Optional.empty());
    }

    private MaintenancePlanner planner(int maxDown, Integer... numbers) {
        for (int worker = 1; worker <= WORKERS; worker++) {
            addWorker(worker);
        }
        List<InstanceId> ids =
                List.of(numbers).stream().map(MaintenancePlannerTest::instance).toList();
        return new MaintenancePlanner(
                scheduler, new WaveRequest(1, ids, 60_000, maxDown), now, Set.of(), DOWN_MILLIS);
    }

    /** Returns the planner of a wave over one instance, whose worker is not added. */
    private MaintenancePlanner planner(FleetInstance instance) {
        MaintenancePlanner planner =
                new MaintenancePlanner(
                        scheduler,
                        new WaveRequest(1, List.of(instance.id()), 60_000, 1),
                        now,
                        Set.of(),
                        DOWN_MILLIS);
        planner.updateInstances(List.of(instance), now, now);
        return planner;
    }

    private List<FleetInstance> allUp() {
        List<FleetInstance> list = new ArrayList<>();
        for (int number = 1; number <= WORKERS; number++) {
            list.add(up(number, number));
        }
        return list;
    }

    /** Starts the job's tasks and reports all of them as running at 100 percent. */
    private void startAndReportServing(JobDefinition job) {
        add(job);
        plan();
        orders.starts.forEach(this::confirm);
        for (int worker = 1; worker <= WORKERS; worker++) {
            WorkerId id = Samples.workerId(worker);
            report(
                    worker,
                    orders.starts.stream()
                            .filter(start -> start.worker().equals(id))
                            .map(SchedulerFixture::running)
                            .toList(),
                    List.of());
        }
    }

    @Nested
    final class Limits {
        /** Guards against more instances in maintenance than the wave permits. */
        @Test
        void keepNoMoreDownThanTheWavePermits() {
            MaintenancePlanner planner = planner(1, 1, 2, 3);
            planner.updateInstances(allUp(), now, now);

            assertThat(planner.plan(now)).hasSize(1);
            assertThat(planner.plan(now)).isEmpty();
        }

        /**
         * Guards against maintenance that takes what an evacuation left of a pool, and against idle
         * instances of the evacuated zone that wait for it.
         */
        @Test
        void countOnlyWorkersOutsideEvacuatedZones() {
            MaintenancePlanner planner = planner(6, 1, 2, 3, 4, 5, 6);
            for (int worker = 4; worker <= WORKERS; worker++) {
                scheduler.registerWorker(Samples.inZone(worker, Samples.OTHER_ZONE, 0), now);
            }
            scheduler.updateEvacuatedZones(Set.of(Samples.OTHER_ZONE));
            planner.updateInstances(allUp(), now, now);

            assertThat(planner.plan(now))
                    .hasSize(4)
                    .contains(instance(4), instance(5), instance(6));
        }

        /** Guards against two maintenance orders that together exceed the budget of a step. */
        @Test
        void keepLastingTasksWithinTheirBudget() {
            MaintenancePlanner planner = planner(6, 1, 2, 3, 4, 5, 6);
            startAndReportServing(Samples.job(1, Samples.lasting(WORKERS, 1, 1)));
            planner.updateInstances(allUp(), now, now);

            assertThat(planner.plan(now)).hasSize(1);
        }

        /**
         * Guards against an order while another task of the step may have ended with its
         * unresponsive worker.
         */
        @Test
        void countTasksOnUnresponsiveWorkersAsUnavailable() {
            MaintenancePlanner planner = planner(1, 1);
            startAndReportServing(Samples.job(1, Samples.lasting(WORKERS, 1, 1)));
            planner.updateInstances(allUp(), now, now);
            scheduler.setUnresponsive(Samples.workerId(2), true, now);

            assertThat(planner.plan(now)).isEmpty();
        }

        /**
         * Guards against an order to a worker that appears to be idle because it has not reported
         * to a new owner, and that runs lasting tasks of the former one.
         */
        @Test
        void leaveAloneWorkersThatHaveNotReported() {
            scheduler.holdRecoveredJobs();
            scheduler.registerWorker(Samples.worker(1), now);
            MaintenancePlanner planner = planner(up(1, 1));
            assertThat(planner.plan(now)).isEmpty();

            report(1, List.of(), List.of());
            assertThat(planner.plan(now)).containsExactly(instance(1));
        }

        /** Guards against the same order while the worker's entry has not been read. */
        @Test
        void leaveAloneWorkersThatAreNotKnownUntilFormerRunsHaveEnded() {
            scheduler.holdRecoveredJobs();
            MaintenancePlanner planner = planner(up(1, 1));
            assertThat(planner.plan(now)).isEmpty();

            scheduler.releaseRecoveredJobs();
            assertThat(planner.plan(now)).containsExactly(instance(1));
        }

        /**
         * Guards against one order that ends two tasks of a step on the same worker, which exceeds
         * the budget.
         */
        @Test
        void countAllTasksOfAStepOnTheWorker() {
            MaintenancePlanner planner = planner(1, 1);
            startAndReportServing(Samples.job(1, Samples.lasting(2 * WORKERS, 1, 1)));
            planner.updateInstances(allUp(), now, now);

            assertThat(planner.plan(now)).isEmpty();
            assertThat(orders.stops).as("one of the two is moved first").hasSize(1);
        }
    }

    @Nested
    final class Answers {
        /**
         * Guards against a second run of tasks whose worker still runs: an order for an instance
         * that an earlier owner maintained is answered as done without ending the worker.
         */
        @Test
        void releaseNoTasksOfARunningWorker() {
            MaintenancePlanner planner = planner(1, 1);
            startAndReportServing(Samples.job(1, Samples.step(WORKERS, 1)));
            planner.updateInstances(allUp(), now, now);
            int started = orders.starts.size();
            assertThat(planner.plan(now)).as("short tasks may end first").isEmpty();
            now += 3_000;
            InstanceId id = planner.plan(now).get(0);

            planner.answered(id, InstanceAnswer.DONE, now);
            planner.updateInstances(allUp(), now, now);
            scheduler.plan(now, 0);

            assertThat(orders.starts).hasSize(started);
            assertThat(planner.isCompleted()).isTrue();
        }

        /**
         * Guards against a second run of a task (TWICE): an order that an earlier owner's order
         * carried out before is answered as done, and a list that lags by less than
         * EndedWorkers.MAX_LIST_LAG_MILLIS still shows that maintenance, although the worker has
         * returned under its id and has reported its runs after the answer.
         */
        @Test
        void releaseNoTasksOfAWorkerThatReportedAfterTheAnswer() {
            MaintenancePlanner planner = planner(1, 1);
            startAndReportServing(Samples.job(1, Samples.lasting(WORKERS, 1, 1)));
            planner.updateInstances(allUp(), now, now);
            int started = orders.starts.size();
            InstanceId id = planner.plan(now).get(0);
            planner.answered(id, InstanceAnswer.DONE, now);

            now += 200;
            RecordedOrders.Start own =
                    orders.starts.stream()
                            .filter(start -> start.worker().equals(Samples.workerId(1)))
                            .findFirst()
                            .orElseThrow();
            report(1, List.of(running(own)), List.of());
            List<FleetInstance> late = allUp();
            late.set(0, down(1));
            planner.updateInstances(late, now, now);
            scheduler.plan(now, 0);

            assertThat(orders.starts).hasSize(started);
        }

        /** Guards against tasks that wait for a lease to expire although their worker has ended. */
        @Test
        void releaseTheTasksOfAnEndedWorker() {
            MaintenancePlanner planner = planner(1, 1);
            startAndReportServing(Samples.job(1, Samples.lasting(WORKERS, 1, 1)));
            planner.updateInstances(allUp(), now, now);
            int started = orders.starts.size();
            InstanceId id = planner.plan(now).get(0);

            planner.answered(id, InstanceAnswer.DONE, now);
            List<FleetInstance> list = allUp();
            list.set(0, down(1));
            assertThat(planner.updateInstances(list, now, now))
                    .containsExactly(Samples.workerId(1));
            scheduler.plan(now, 0);

            assertThat(orders.starts).hasSize(started + 1);
            assertThat(planner.isCompleted()).isFalse();
        }

        /**
         * Guards against a wave that is reported as completed before its instances are up again.
         */
        @Test
        void completeTheWaveWhenTheInstanceIsUpAgain() {
            MaintenancePlanner planner = planner(1, 1);
            planner.updateInstances(allUp(), now, now);
            planner.answered(planner.plan(now).get(0), InstanceAnswer.DONE, now);
            List<FleetInstance> list = allUp();
            list.set(0, down(1));
            planner.updateInstances(list, now, now);
            assertThat(planner.isCompleted()).isFalse();

            now += DOWN_MILLIS;
            list.set(0, up(1, 9));
            planner.updateInstances(list, now, now);
            assertThat(planner.isCompleted()).isTrue();
        }
    }
}
