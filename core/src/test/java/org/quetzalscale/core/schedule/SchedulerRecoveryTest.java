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

/** Tests tasks when answers are lost, owners change and workers end. */
final class SchedulerRecoveryTest extends SchedulerFixture {
    SchedulerRecoveryTest() {
        super(Samples.policy(NO_CAP));
    }

    private int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(2));
    }

    @Nested
    final class UnansweredOrders {
        /** Guards against two concurrent runs of a task when a start is carried out late. */
        @Test
        void areStoppedBeforeTheTaskStartsAgain() {
            addWorker(2);
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
            assertThat(orders.lastStart().order().run()).isGreaterThan(start.order().run());
        }

        /** Guards against a stop that ends a lasting task at work because an answer was late. */
        @Test
        void leaveLastingTasksRunningThatTheNextReportLists() {
            RecordedOrders.Start start = startOneLastingTask();
            answer(start, OrderAnswer.UNKNOWN);
            now += 10;
            report(1, List.of(running(start)), List.of());
            now += 10;
            report(1, List.of(running(start)), List.of());
            plan();

            assertThat(orders.stops).isEmpty();
            assertThat(orders.starts).hasSize(1);
        }

        /**
         * Guards against a second run of a lasting task: only a report that was requested with the
         * raised fencing token shows that the start will not be carried out.
         */
        @Test
        void restartLastingTasksThatALaterReportDoesNotList() {
            RecordedOrders.Start start = startOneLastingTask();
            answer(start, OrderAnswer.UNKNOWN);
            report(1, List.of(), List.of());
            plan();
            assertThat(orders.starts).as("requested before the token was raised").hasSize(1);

            now += 10;
            report(1, List.of(), List.of());
            plan();
            assertThat(orders.starts).hasSize(2);
            assertThat(orders.stops).isEmpty();
        }

        private RecordedOrders.Start startOneLastingTask() {
            addWorker(1);
            add(Samples.job(1, Samples.lasting(1, 1, 1)));
            plan();
            return orders.lastStart();
        }

        /**
         * Guards against a late start that a worker carries out after a restart: its previous
         * incarnation answered the stop, of which the new one does not know.
         */
        @Test
        void areStoppedAgainAfterAWorkerRestart() {
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
         * Guards against a second run of a task that the new incarnation of a worker has started:
         * the start was accepted before the owner knew of that incarnation.
         */
        @Test
        void keepRunsStartedAfterAWorkerRestart() {
            addWorker(2);
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

        /** Guards against a lost stop after which the task never starts again. */
        @Test
        void resendTheirStop() {
            RecordedOrders.Start start = startOneTask();
            answer(start, OrderAnswer.UNKNOWN);

            now += 1_000;
            plan();

            assertThat(orders.stops).hasSize(2);
        }
    }

    @Nested
    final class Takeovers {
        /** Guards against a second run of a task that an earlier owner started. */
        @Test
        void adoptReportedRuns() {
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
         * Guards against a second run of a task that is done: an earlier owner started the run, and
         * only the end that this owner records is visible to the next one.
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

        /**
         * Guards against a second run of a task while the worker of the first run has not reported
         * yet.
         */
        @Test
        void holdBackRecoveredJobs() {
            addWorker(1);
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

        /**
         * Guards against a second run of a task that has ended, because the list that does not show
         * its end was cut (TWICE).
         */
        @Test
        void areUnknownUntilTheListOfEndsIsWhole() {
            add(Samples.job(1, Samples.step(2, 1)));
            scheduler.registerWorker(Samples.worker(1), now);
            FinishedRun first = new FinishedRun(1, Samples.task(1, 0, 0), 7, RunEnd.DONE, "");
            FinishedRun second = new FinishedRun(2, Samples.task(1, 0, 1), 7, RunEnd.DONE, "");

            reportEnds(List.of(first), false);
            assertThat(scheduler.hasReported(Samples.workerId(1))).isTrue();
            assertThat(scheduler.hasListedRuns(Samples.workerId(1))).isFalse();
            assertThat(scheduler.allRunsListed()).isFalse();

            reportEnds(List.of(second), true);
            assertThat(scheduler.allRunsListed()).isTrue();
        }

        /** Guards against a takeover that waits for ends of runs that this owner has started. */
        @Test
        void stayKnownWhenALaterListIsCut() {
            addWorker(1);
            reportEnds(List.of(), false);
            assertThat(scheduler.allRunsListed()).isTrue();
        }

        private void reportEnds(List<FinishedRun> ends, boolean all) {
            WorkerReport report = new WorkerReport(now, 1, List.of(), ends, all);
            scheduler.handleReport(Samples.workerId(1), report, ends, now, now);
        }

        /** Guards against a run of an earlier owner that continues after its task is done. */
        @Test
        void stopRunsOfTasksThatAreDone() {
            confirm(startOneTask());
            report(1, List.of(), List.of(end(1, orders.lastStart(), RunEnd.DONE)));

            report(1, List.of(new RunningTask(Samples.task(1, 0, 0), 99, "", 10, 0)), List.of());

            assertThat(orders.stops).hasSize(1);
        }
    }

    @Nested
    final class LostWorkers {
        /**
         * Guards against a takeover that waits for the lease of a worker whose instance an earlier
         * owner moved, and whose entry still exists.
         */
        @Test
        void haveEndedIfNoInstanceRunsThem() {
            scheduler.registerWorker(Samples.worker(1), now);
            addWorker(2);
            scheduler.setUnresponsive(Samples.workerId(1), true, now);
            assertThat(scheduler.allRunsListed()).isFalse();

            now += EndedWorkers.MAX_LIST_LAG_MILLIS + 1;
            assertThat(scheduler.updateInstances(List.of(), now, now))
                    .containsExactly(Samples.workerId(1));

            assertThat(scheduler.allRunsListed()).isTrue();
        }

        /**
         * Guards against a second run of a task while the lease of the first run's worker has not
         * expired.
         */
        @Test
        void keepTheirTasksUntilTheLeaseExpires() {
            confirm(startOneTask());
            addWorker(2);

            scheduler.deregisterWorker(Samples.workerId(1));
            scheduler.setUnresponsive(Samples.workerId(1), true, now);
            plan();
            assertThat(orders.starts).hasSize(1);

            scheduler.releaseTasks(Samples.workerId(1), now);
            plan();
            assertThat(orders.starts).hasSize(2);
            assertThat(orders.lastStart().worker()).isEqualTo(Samples.workerId(2));
        }

        /**
         * Guards against a second run of a task (TWICE): the list of instances was requested before
         * its worker came up, and is answered after the worker has reported, was given the task and
         * became silent.
         */
        @Test
        void keepTheirTasksIfTheListIsOlderThanTheirLastReport() {
            now += 100;
            long requestedMillis = now;
            RecordedOrders.Start start = startOneTask();
            confirm(start);
            now += 100;
            report(1, List.of(running(start)), List.of());
            addWorker(2);
            scheduler.setUnresponsive(start.worker(), true, now);

            now += 300;
            assertThat(scheduler.updateInstances(List.of(), requestedMillis, now)).isEmpty();
            plan();
            assertThat(orders.starts).as("the run goes on, on a worker that is up").hasSize(1);

            now += EndedWorkers.MAX_LIST_LAG_MILLIS;
            assertThat(scheduler.updateInstances(List.of(), now, now)).hasSize(1);
        }

        /**
         * Guards against a second run of a task (TWICE): the list of instances lags, and shows the
         * restart of a worker that has reported since.
         */
        @Test
        void keepTheirTasksWhileTheListMayShowAnEarlierState() {
            RecordedOrders.Start start = startOneTask();
            confirm(start);
            scheduler.setUnresponsive(start.worker(), true, now);

            now += EndedWorkers.MAX_LIST_LAG_MILLIS;
            assertThat(scheduler.updateInstances(List.of(), now, now)).isEmpty();
            now++;
            assertThat(scheduler.updateInstances(List.of(), now, now)).hasSize(1);
        }

        /**
         * Guards against the same failure beside a start that was answered after the last report.
         */
        @Test
        void keepTheirTasksIfTheListIsOlderThanAnAcceptedStart() {
            now += 100;
            long requestedMillis = now;
            now += 100;
            RecordedOrders.Start start = startOneTask();
            confirm(start);
            scheduler.setUnresponsive(start.worker(), true, now);

            now += 300;
            assertThat(scheduler.updateInstances(List.of(), requestedMillis, now)).isEmpty();
        }

        /**
         * Guards against a worker beyond its capacity (LIMIT): the former run of a task turns out
         * to be done, and the present one is still being stopped.
         */
        @Test
        void leaveRoomForARunThatIsNoLongerNeeded() {
            addWorker(1);
            add(Samples.job(1, Samples.step(1, 10)));
            plan();
            RecordedOrders.Start former = orders.lastStart();
            confirm(former);
            scheduler.releaseTasks(former.worker(), now);
            scheduler.deregisterWorker(former.worker());
            addWorker(2);
            plan();
            RecordedOrders.Start present = orders.lastStart();
            confirm(present);
            assertThat(present.worker()).isEqualTo(Samples.workerId(2));
            add(Samples.job(2, Samples.step(1, 10)));

            report(1, List.of(), List.of(end(1, former, RunEnd.DONE)));
            plan();
            assertThat(orders.stops).hasSize(1);
            assertThat(orders.starts).as("the present run is being stopped").hasSize(2);

            now += 10;
            report(2, List.of(), List.of(end(1, present, RunEnd.STOPPED)));
            plan();
            assertThat(orders.starts).hasSize(3);
        }
    }
}
