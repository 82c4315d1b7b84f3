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
        /** Guards against starts on a worker that may still accept orders of an earlier owner. */
        @Test
        void waitUntilTheWorkerHasReported() {
            scheduler.registerWorker(Samples.worker(1), now);
            add(Samples.job(1, Samples.step(1, 1)));

            plan();
            assertThat(orders.starts).isEmpty();

            report(1, List.of(), List.of());
            plan();
            assertThat(orders.starts).hasSize(1);
        }

        /** Guards against tasks that exceed the capacity of a worker. */
        @Test
        void stayWithinTheCapacity() {
            addWorker(1);
            add(Samples.job(1, Samples.step(5, 6)));

            plan();

            assertThat(orders.starts).hasSize(2);
        }

        /** Guards against tasks that exceed a capacity that shrank while they ran (LIMIT). */
        @Test
        void stayWithinACapacityThatShrank() {
            addWorker(1);
            add(Samples.job(1, Samples.step(2, 4)));
            plan();
            assertThat(orders.starts).hasSize(2);

            scheduler.registerWorker(Samples.withCores(1, 10), now);
            add(Samples.job(2, Samples.step(1, 4)));
            plan();
            assertThat(orders.starts).hasSize(2);

            scheduler.registerWorker(Samples.worker(1), now);
            plan();
            assertThat(orders.starts).hasSize(3);
        }

        /** Guards against a step that starts before the step it depends on is done. */
        @Test
        void waitForEarlierSteps() {
            addWorker(1);
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
            assertThat(orders.lastStart().order().task()).isEqualTo(Samples.task(1, 1, 0));
        }

        /** Guards against an organisation that exceeds its cap over all workers together. */
        @Test
        void stayWithinTheCapOfTheOrganisation() {
            scheduler = scheduler(10, 0);
            addWorker(1);
            addWorker(2);
            add(Samples.job(1, Samples.step(8, 3)));

            plan();

            assertThat(orders.starts).hasSize(3);
        }
    }

    @Nested
    final class Failures {
        /** Guards against a job that fails before its last attempt, or is retried after it. */
        @Test
        void endTheJobAfterTheLastAttempt() {
            addWorker(1);
            add(Samples.job(1, Samples.step(1, 1)));
            for (int attempt = 1; attempt <= Samples.MAX_ATTEMPTS; attempt++) {
                plan();
                assertThat(orders.starts).hasSize(attempt);
                confirm(orders.lastStart());
                report(1, List.of(), List.of(end(attempt, orders.lastStart(), RunEnd.FAILED)));
            }

            plan();

            assertThat(orders.starts).hasSize(Samples.MAX_ATTEMPTS);
            assertThat(scheduler.takeChangedJobs())
                    .extracting(JobProgress::phase)
                    .containsExactly(JobPhase.FAILED);
        }

        /**
         * Guards against a failure that two owners count: a worker reports an end again if it was
         * recorded but not acknowledged.
         */
        @Test
        void areCountedOnceWhenReportedToTheNextOwner() {
            addWorker(1);
            JobDefinition job = Samples.job(1, Samples.step(1, 1));
            add(job);
            List<FinishedRun> ends = new ArrayList<>();
            for (int attempt = 1; attempt < Samples.MAX_ATTEMPTS; attempt++) {
                plan();
                confirm(orders.lastStart());
                FinishedRun failure = end(attempt, orders.lastStart(), RunEnd.FAILED);
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
            assertThat(orders.lastStart().order().run()).isGreaterThan(1_000);
        }

        /**
         * Guards against an attempt too many (BUDGET): a record that is written late contained the
         * last failure without the end of the job, so the next owner knew the failure and started
         * the task again.
         */
        @Test
        void leaveARecordAsItWasWhenItWasTaken() {
            addWorker(1);
            add(Samples.job(1, Samples.step(1, 1)));
            List<JobProgress> records = new ArrayList<>();
            for (int attempt = 1; attempt <= Samples.MAX_ATTEMPTS; attempt++) {
                plan();
                confirm(orders.lastStart());
                report(1, List.of(), List.of(end(attempt, orders.lastStart(), RunEnd.FAILED)));
                records.addAll(scheduler.takeChangedJobs());
            }

            assertThat(records.get(0).steps().get(0).failures().get(0)).hasSize(1);
            assertThat(records.get(1).steps().get(0).failures().get(0)).hasSize(2);
        }
    }

    @Nested
    final class FailuresOnSeveralWorkers {
        /**
         * Guards against failures that are not counted because the end of a later run was reported
         * first: workers report to a new owner in any order.
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
        /** Guards against tasks that continue after their job was cancelled. */
        @Test
        void stopRunningTasksAndStartNone() {
            addWorker(1);
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
    final class LastingTasksThatEndAsDone {
        private static final long MAX_PAUSE_MILLIS = 800;

        private RecordedOrders.Start startOne() {
            addWorker(1);
            add(Samples.job(1, Samples.lasting(1, 1, 0)));
            plan();
            confirm(orders.lastStart());
            report(1, List.of(running(orders.lastStart())), List.of());
            return orders.lastStart();
        }

        private void endAsDone(long number, RecordedOrders.Start start) {
            report(1, List.of(), List.of(end(number, start, RunEnd.DONE)));
        }

        /** Guards against a service that is away for good after one of its runs ended (LOST). */
        @Test
        void areStartedAgain() {
            RecordedOrders.Start first = startOne();
            endAsDone(1, first);
            now += MAX_PAUSE_MILLIS;
            plan();

            assertThat(orders.starts).hasSize(2);
            assertThat(orders.lastStart().order().run()).isGreaterThan(first.order().run());
            assertThat(scheduler.takeChangedJobs())
                    .extracting(JobProgress::phase)
                    .doesNotContain(JobPhase.COMPLETED);
        }

        /** Guards against starts without pause of a task that ends at once. */
        @Test
        void arePaused() {
            RecordedOrders.Start start = startOne();
            for (int number = 1; number <= 10; number++) {
                endAsDone(number, start);
                plan();
                assertThat(orders.starts).hasSize(number);
                now += MAX_PAUSE_MILLIS;
                plan();
                start = orders.lastStart();
                confirm(start);
            }

            assertThat(orders.starts).hasSize(11);
        }

        /** Guards against a start of a task whose job was cancelled (UNASKED). */
        @Test
        void areNotStartedAgainAfterACancellation() {
            RecordedOrders.Start start = startOne();
            scheduler.cancel(Samples.jobId(1), now);
            endAsDone(1, start);
            now += MAX_PAUSE_MILLIS;
            plan();

            assertThat(orders.starts).hasSize(1);
            assertThat(scheduler.takeChangedJobs())
                    .extracting(JobProgress::phase)
                    .containsExactly(JobPhase.CANCELLED);
        }

        /** Guards against a second run beside one that is at work elsewhere (TWICE). */
        @Test
        void leaveALaterRunAlone() {
            RecordedOrders.Start first = startOne();
            endAsDone(1, first);
            now += MAX_PAUSE_MILLIS;
            plan();
            RecordedOrders.Start second = orders.lastStart();
            confirm(second);

            report(1, List.of(running(second)), List.of(end(1, first, RunEnd.DONE)));
            now += MAX_PAUSE_MILLIS;
            plan();

            assertThat(orders.starts).hasSize(2);
            assertThat(orders.stops).isEmpty();
        }
    }

    @Nested
    final class StalledTasks {
        private void reportAt(int worker, RecordedOrders.Start start, int percent) {
            report(worker, List.of(running(start, percent)), List.of());
        }

        /** Guards against a task that never completes because its worker makes no progress. */
        @Test
        void restartOnAnotherWorker() {
            addWorker(2);
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
            assertThat(orders.lastStart().worker()).isNotEqualTo(start.worker());
        }

        /** Guards against stopping a task that progresses slowly on a slow worker. */
        @Test
        void doNotIncludeSlowTasks() {
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
