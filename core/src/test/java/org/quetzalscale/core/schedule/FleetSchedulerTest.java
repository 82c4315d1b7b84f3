package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.TaskRef;

final class FleetSchedulerTest extends SchedulerFixture {
    FleetSchedulerTest() {
        super(Samples.policy(NO_CAP));
    }

    private FleetScheduler scheduler(double capCores, long runBase) {
        return new FleetScheduler(Samples.policy(capCores), orders, runBase);
    }

    private int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(2));
    }

    @Nested
    final class Starts {
        /** Guards against work on workers that an earlier owner may still command. */
        @Test
        void waitUntilTheWorkerHasAnswered() {
            scheduler.registerWorker(Samples.worker(1), now);
            add(Samples.job(1, Samples.step(1, 1)));

            plan();
            assertThat(orders.starts).isEmpty();

            report(1, List.of(), List.of());
            plan();
            assertThat(orders.starts).hasSize(1);
        }

        /** Guards against more on a worker than its capacity. */
        @Test
        void stayWithinTheCapacity() {
            open(1);
            add(Samples.job(1, Samples.step(5, 6)));

            plan();

            assertThat(orders.starts).hasSize(2);
        }

        /** Guards against a step that begins before the one that it needs. */
        @Test
        void waitForEarlierSteps() {
            open(1);
            add(Samples.job(1, Samples.step(2, 1), Samples.step(1, 1, 0)));
            plan();
            List<RecordedOrders.Start> first = List.copyOf(orders.starts);
            first.forEach(FleetSchedulerTest.this::confirm);
            assertThat(first).hasSize(2);

            report(1, List.of(running(first.get(1))), List.of(end(1, first.get(0), RunEnd.DONE)));
            plan();
            assertThat(orders.starts).hasSize(2);

            report(1, List.of(), List.of(end(2, first.get(1), RunEnd.DONE)));
            plan();
            assertThat(orders.last().order().task()).isEqualTo(Samples.task(1, 1, 0));
        }

        /** Guards against an organisation that runs more than its cap over the fleet. */
        @Test
        void stayWithinTheCapOfTheOrganisation() {
            scheduler = scheduler(10, 0);
            open(1);
            open(2);
            add(Samples.job(1, Samples.step(8, 3)));

            plan();

            assertThat(orders.starts).hasSize(3);
        }
    }

    @Nested
    final class Failures {
        /** Guards against a job that is given up too early, or retried too often. */
        @Test
        void endTheJobAfterTheLastAttempt() {
            open(1);
            add(Samples.job(1, Samples.step(1, 1)));
            for (int attempt = 1; attempt <= Samples.MAX_ATTEMPTS; attempt++) {
                plan();
                assertThat(orders.starts).hasSize(attempt);
                confirm(orders.last());
                report(1, List.of(), List.of(end(attempt, orders.last(), RunEnd.FAILED)));
            }

            plan();

            assertThat(orders.starts).hasSize(Samples.MAX_ATTEMPTS);
            assertThat(scheduler.takeChangedJobs())
                    .extracting(JobProgress::phase)
                    .containsExactly(JobPhase.FAILED);
        }

        /**
         * Guards against a failure that is counted by two owners: an end that is recorded but not
         * acknowledged is listed again.
         */
        @Test
        void areCountedOnceWhenTheNextOwnerSeesThemAgain() {
            open(1);
            JobDefinition job = Samples.job(1, Samples.step(1, 1));
            add(job);
            List<FinishedRun> ends = new ArrayList<>();
            for (int attempt = 1; attempt < Samples.MAX_ATTEMPTS; attempt++) {
                plan();
                confirm(orders.last());
                FinishedRun failure = end(attempt, orders.last(), RunEnd.FAILED);
                ends.add(failure);
                report(1, List.of(), List.of(failure));
            }
            JobProgress recorded = scheduler.takeChangedJobs().get(0);

            scheduler = scheduler(NO_CAP, 1_000);
            scheduler.addJob(job, Optional.of(recorded), now, now);
            scheduler.registerWorker(Samples.worker(1), now);
            report(1, List.of(), ends);
            plan();

            assertThat(orders.starts).hasSize(Samples.MAX_ATTEMPTS);
            assertThat(orders.last().order().run()).isGreaterThan(1_000);
        }
    }

    @Nested
    final class FailuresOnSeveralWorkers {
        /**
         * Guards against failures that are not counted because a later run's end was seen first:
         * the workers answer a new owner in any order.
         */
        @Test
        void areCountedInAnyOrder() {
            add(Samples.job(1, Samples.step(1, 1)));
            scheduler.registerWorker(Samples.worker(1), now);
            scheduler.registerWorker(Samples.worker(2), now);
            TaskRef task = Samples.task(1, 0, 0);

            report(2, List.of(), List.of(new FinishedRun(1, task, 3, RunEnd.FAILED, "")));
            report(
                    1,
                    List.of(),
                    List.of(
                            new FinishedRun(1, task, 1, RunEnd.FAILED, ""),
                            new FinishedRun(2, task, 2, RunEnd.FAILED, "")));
            plan();

            assertThat(orders.starts).isEmpty();
        }
    }

    @Nested
    final class Cancellations {
        /** Guards against tasks that run on after their job was cancelled. */
        @Test
        void stopWhatRunsAndStartNothing() {
            open(1);
            add(Samples.job(1, Samples.step(20, 1)));
            plan();
            List.copyOf(orders.starts).forEach(FleetSchedulerTest.this::confirm);
            int started = orders.starts.size();

            scheduler.cancel(Samples.jobId(1), now);
            plan();

            assertThat(orders.stops).hasSize(started);
            assertThat(orders.starts).hasSize(started);
        }
    }

    @Nested
    final class StalledTasks {
        private void reportAt(int worker, RecordedOrders.Start start, int percent) {
            report(worker, List.of(running(start, percent)), List.of());
        }

        /** Guards against a task that waits for ever on a worker where tasks stand still. */
        @Test
        void startAgainOnAnotherWorker() {
            open(2);
            RecordedOrders.Start start = startOneTask();
            confirm(start);
            now += 500;
            reportAt(number(start.worker()), start, 20);
            now += 3_000;
            reportAt(number(start.worker()), start, 20);
            assertThat(orders.stops).hasSize(1);

            confirmStop(start);
            now += 10;
            report(number(start.worker()), List.of(), List.of(end(1, start, RunEnd.STOPPED)));
            plan();
            assertThat(orders.last().worker()).isNotEqualTo(start.worker());
        }

        /** Guards against work that is thrown away because its worker is slow. */
        @Test
        void areNotThoseThatProgressSlowly() {
            RecordedOrders.Start start = startOneTask();
            confirm(start);
            for (int percent = 1; percent < 20; percent++) {
                now += 1_000;
                reportAt(1, start, percent);
            }

            assertThat(orders.stops).isEmpty();
        }
    }
}
