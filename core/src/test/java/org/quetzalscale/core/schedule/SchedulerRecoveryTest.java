package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerReport;

/** What becomes of tasks when answers are lost, owners change and workers end. */
final class SchedulerRecoveryTest extends SchedulerFixture {
    SchedulerRecoveryTest() {
        super(Samples.policy(NO_CAP));
    }

    private int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(2));
    }

    @Nested
    final class OrdersWithoutAnswer {
        /** Guards against two runs of a task when a start is carried out late. */
        @Test
        void areStoppedBeforeTheTaskStartsAgain() {
            open(2);
            RecordedOrders.Start start = startOneTask();
            int worker = number(start.worker());

            answer(start, OrderAnswer.UNKNOWN);
            plan();
            assertThat(orders.stops).hasSize(1);
            assertThat(orders.starts).hasSize(1);

            report(worker, List.of(), List.of());
            plan();
            assertThat(orders.starts).as("the stop is not answered").hasSize(1);

            confirmStop(start);
            now += 10;
            report(worker, List.of(), List.of());
            plan();
            assertThat(orders.starts).hasSize(2);
            assertThat(orders.last().order().run()).isGreaterThan(start.order().run());
        }

        /**
         * Guards against a late start that a worker carries out in a new life: the stop was
         * answered in the life before, of which the worker knows nothing.
         */
        @Test
        void areStoppedAgainInTheWorkersNextLife() {
            RecordedOrders.Start start = startOneTask();
            TaskRef task = start.order().task();
            long run = start.order().run();
            answer(start, OrderAnswer.UNKNOWN);
            confirmStop(start);
            now += 10;
            report(1, List.of(), List.of());
            orders.stops.clear();

            now += 4_000;
            scheduler.handleReport(
                    start.worker(),
                    new WorkerReport(0, 2, List.of(), List.of()),
                    List.of(),
                    now,
                    now);

            assertThat(orders.stops)
                    .containsOnly(new RecordedOrders.Stop(start.worker(), task, run));
        }

        /**
         * Guards against a second run of a task that the new life of a worker has begun: the start
         * was accepted before the owner knew of that life.
         */
        @Test
        void keepRunsThatTheWorkersNextLifeHasBegun() {
            open(2);
            RecordedOrders.Start start = startOneTask();
            int worker = number(start.worker());
            confirm(start);
            now += 10;
            scheduler.registerWorker(Samples.startedAt(worker, 2), now);
            plan();
            assertThat(orders.starts).hasSize(1);

            scheduler.handleReport(
                    start.worker(),
                    new WorkerReport(now, 2, List.of(running(start)), List.of()),
                    List.of(),
                    now,
                    now);
            plan();
            assertThat(orders.starts).hasSize(1);
            assertThat(orders.stops).isEmpty();
        }

        /** Guards against a stop that gets lost and leaves the task waiting for ever. */
        @Test
        void haveTheirStopRepeated() {
            RecordedOrders.Start start = startOneTask();
            answer(start, OrderAnswer.UNKNOWN);

            now += 1_000;
            plan();

            assertThat(orders.stops).hasSize(2);
        }
    }

    @Nested
    final class Takeovers {
        /** Guards against a second run of what an earlier owner started. */
        @Test
        void adoptTheRunsThatWorkersList() {
            JobDefinition job = Samples.job(1, Samples.step(1, 1));
            add(job);
            scheduler.registerWorker(Samples.worker(1), now);
            TaskRef task = Samples.task(1, 0, 0);

            report(1, List.of(new RunningTask(task, 7, "", 10, 0)), List.of());
            plan();

            assertThat(orders.starts).isEmpty();
            assertThat(orders.stops).isEmpty();
        }

        /**
         * Guards against a second run of a task that is done: this owner never started the task,
         * and its record of the end is all that the next owner sees.
         */
        @Test
        void recordEndsOfRunsThatAnEarlierOwnerStarted() {
            add(Samples.job(1, Samples.step(2, 1)));
            scheduler.registerWorker(Samples.worker(1), now);
            FinishedRun end = new FinishedRun(1, Samples.task(1, 0, 0), 7, RunEnd.DONE, "");

            report(1, List.of(), List.of(end));

            JobProgress progress = scheduler.takeChangedJobs().get(0);
            assertThat(progress.steps()).hasSize(1);
            assertThat(progress.steps().get(0).done().get(0)).isTrue();
        }

        /** Guards against a second run while the first one's worker has not answered yet. */
        @Test
        void holdInheritedJobsBack() {
            open(1);
            add(Samples.job(1, Samples.step(1, 1)));
            scheduler.holdRecoveredJobs();
            add(Samples.job(2, Samples.step(1, 1)));

            plan();
            assertThat(orders.starts)
                    .extracting(start -> start.order().task().job())
                    .containsExactly(Samples.jobId(2));

            scheduler.releaseRecoveredJobs();
            plan();
            assertThat(orders.starts).hasSize(2);
        }

        /** Guards against a task that goes on after it was done, started by an earlier owner. */
        @Test
        void stopRunsOfTasksThatAreDone() {
            confirm(startOneTask());
            report(1, List.of(), List.of(end(1, orders.last(), RunEnd.DONE)));

            report(1, List.of(new RunningTask(Samples.task(1, 0, 0), 99, "", 10, 0)), List.of());

            assertThat(orders.stops).hasSize(1);
        }
    }

    @Nested
    final class LostWorkers {
        /**
         * Guards against a takeover that waits for the lease of a worker which an earlier owner
         * moved away, and whose entry still stands.
         */
        @Test
        void areKnownToHaveEndedWhenNoInstanceRunsThem() {
            scheduler.registerWorker(Samples.worker(1), now);
            open(2);
            scheduler.setUnresponsive(Samples.workerId(1), true, now);
            assertThat(scheduler.allWorkersReported()).isFalse();

            now += 500;
            assertThat(scheduler.updateInstances(List.of(), now))
                    .containsExactly(Samples.workerId(1));

            assertThat(scheduler.allWorkersReported()).isTrue();
        }

        /** Guards against a second run while the first one's lease has not expired. */
        @Test
        void keepTheirTasksUntilTheLeaseIsOver() {
            confirm(startOneTask());
            open(2);

            scheduler.deregisterWorker(Samples.workerId(1));
            scheduler.setUnresponsive(Samples.workerId(1), true, now);
            plan();
            assertThat(orders.starts).hasSize(1);

            scheduler.releaseTasks(Samples.workerId(1), now);
            plan();
            assertThat(orders.starts).hasSize(2);
            assertThat(orders.last().worker()).isEqualTo(Samples.workerId(2));
        }
    }
}
