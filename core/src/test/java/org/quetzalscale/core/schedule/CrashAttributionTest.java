package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.function.ObjIntConsumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;

final class CrashAttributionTest extends SchedulerFixture {
    /** Time after which a list that does not show a worker tells that it has ended. */
    private static final long LIST_MILLIS = EndedWorkers.MAX_LIST_LAG_MILLIS + 1;

    private static final int WORKERS = 8;
    private static final int STARTS_BEFORE_GIVING_UP = 3;

    private final JobDefinition job = Samples.job(1, Samples.step(1, 1));

    CrashAttributionTest() {
        super(Samples.policy(NO_CAP));
    }

    @BeforeEach
    void addWorkers() {
        for (int worker = 1; worker <= WORKERS; worker++) {
            addWorker(worker);
        }
    }

    private static int number(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(2));
    }

    /** The worker stops responding, and the list of instances no longer shows it. */
    private void vanish(int worker) {
        scheduler.setUnresponsive(Samples.workerId(worker), true, now);
        now += LIST_MILLIS;
        scheduler.updateInstances(List.of(), now, now);
    }

    /** The worker reports a new incarnation, which runs nothing. */
    private void restart(int worker) {
        now += 300;
        scheduler.handleReport(
                Samples.workerId(worker), Samples.reportOf(now), List.of(), now, now);
    }

    /** The address of the worker answers for another worker. */
    private void replace(int worker) {
        scheduler.workerEnded(Samples.workerId(worker), now);
    }

    private enum Crash {
        VANISH((test, worker) -> test.vanish(worker)),
        RESTART((test, worker) -> test.restart(worker)),
        REPLACE((test, worker) -> test.replace(worker));

        final ObjIntConsumer<CrashAttributionTest> action;

        Crash(ObjIntConsumer<CrashAttributionTest> action) {
            this.action = action;
        }
    }

    private void startAndCrash(int times, IntConsumer crash) {
        for (int i = 0; i < times; i++) {
            int before = orders.starts.size();
            plan();
            if (orders.starts.size() == before) {
                return;
            }
            RecordedOrders.Start start = orders.lastStart();
            confirm(start);
            now += 10;
            crash.accept(number(start.worker()));
        }
    }

    private void complete(RecordedOrders.Start start) {
        confirm(start);
        report(number(start.worker()), List.of(), List.of(end(1, start, RunEnd.DONE)));
    }

    private static boolean isOfJob(int number, RecordedOrders.Start start) {
        return start.order().task().job().equals(Samples.jobId(number));
    }

    private List<JobPhase> changedPhases() {
        return scheduler.takeChangedJobs().stream().map(JobProgress::phase).toList();
    }

    @Nested
    final class ATaskThatCrashesItsWorkers {
        /** Guards against a task that takes down one worker after the other (BUDGET). */
        @ParameterizedTest
        @EnumSource(Crash.class)
        void isGivenUp(Crash crash) {
            add(job);

            startAndCrash(
                    WORKERS, worker -> crash.action.accept(CrashAttributionTest.this, worker));

            assertThat(orders.starts).hasSize(STARTS_BEFORE_GIVING_UP);
            assertThat(changedPhases()).containsExactly(JobPhase.FAILED);
        }

        /** Guards against crashes that do not count because a finite task was nearly done. */
        @Test
        void isGivenUpIfItHasReachedItsFullProgress() {
            add(job);

            startAndCrash(
                    WORKERS,
                    worker -> {
                        report(worker, List.of(running(orders.lastStart(), 100)), List.of());
                        vanish(worker);
                    });

            assertThat(orders.starts).hasSize(STARTS_BEFORE_GIVING_UP);
            assertThat(changedPhases()).containsExactly(JobPhase.FAILED);
        }

        /** Guards against crashes that do not count because the worker never answered the start. */
        @Test
        void isGivenUpWithoutAnswersToItsStarts() {
            add(job);
            for (int i = 0; i < WORKERS; i++) {
                plan();
                RecordedOrders.Start start = orders.lastStart();
                answer(start, OrderAnswer.UNKNOWN);
                vanish(number(start.worker()));
            }

            assertThat(orders.starts).hasSize(STARTS_BEFORE_GIVING_UP);
            assertThat(changedPhases()).containsExactly(JobPhase.FAILED);
        }

        /** Guards against crashes that the next owner does not know of. */
        @Test
        void isGivenUpByTheNextOwner() {
            add(job);
            startAndCrash(STARTS_BEFORE_GIVING_UP - 1, CrashAttributionTest.this::vanish);
            JobProgress recorded = scheduler.takeChangedJobs().get(0);

            scheduler = new FleetScheduler(Samples.policy(NO_CAP), orders, 1_000);
            scheduler.addJob(job, Optional.of(recorded), now, now);
            addWorkers();
            startAndCrash(WORKERS, CrashAttributionTest.this::vanish);

            assertThat(orders.starts).hasSize(STARTS_BEFORE_GIVING_UP);
            assertThat(changedPhases()).containsExactly(JobPhase.FAILED);
        }

        /** Guards against a task that takes down the work of others again and again. */
        @Test
        void isStartedApartFromOtherTasks() {
            add(job);
            startAndCrash(1, CrashAttributionTest.this::vanish);
            add(Samples.job(2, Samples.step(WORKERS - 2, 1)));

            plan();

            List<WorkerId> used =
                    orders.starts.stream().skip(1).map(RecordedOrders.Start::worker).toList();
            assertThat(used).hasSize(WORKERS - 1).doesNotHaveDuplicates();
        }
    }

    @Nested
    final class OtherTasksOnTheWorker {
        /** Guards against a job that fails because a neighbour crashes their common worker. */
        @Test
        void areDoneWhileTheCauseIsGivenUp() {
            scheduler = new FleetScheduler(Samples.policy(NO_CAP), orders, 0);
            add(job);
            add(Samples.job(2, Samples.step(1, 1)));
            for (int worker = 1; worker <= WORKERS; worker++) {
                addWorker(worker);
                int before = orders.starts.size();
                plan();
                List<RecordedOrders.Start> started =
                        List.copyOf(orders.starts.subList(before, orders.starts.size()));
                if (started.stream().anyMatch(start -> isOfJob(1, start))) {
                    vanish(worker);
                } else {
                    started.forEach(CrashAttributionTest.this::complete);
                }
            }

            assertThat(changedPhases())
                    .containsExactlyInAnyOrder(JobPhase.FAILED, JobPhase.COMPLETED);
            assertThat(scheduler.fleet().jobs.get(Samples.jobId(1)).phase)
                    .isEqualTo(JobPhase.FAILED);
        }
    }

    @Nested
    final class OtherEnds {
        private void assertNeverGivenUp() {
            assertThat(orders.starts).hasSize(WORKERS);
            assertThat(changedPhases()).doesNotContain(JobPhase.FAILED);
        }

        /**
         * Guards against accepted work that waits although there is room (LOST): after all workers
         * have crashed twice, each job looks as if it crashed them.
         */
        @Test
        void ofAllWorkersTogetherKeepNoJobWaiting() {
            int jobs = 3 * WORKERS;
            for (int number = 1; number <= jobs; number++) {
                add(Samples.job(number, Samples.step(1, 1)));
            }
            for (int crash = 0; crash < 2; crash++) {
                plan();
                orders.starts.forEach(CrashAttributionTest.this::confirm);
                now += 10;
                for (int worker = 1; worker <= WORKERS; worker++) {
                    restart(worker);
                }
            }
            orders.starts.clear();
            for (int i = 0; i < 3; i++) {
                plan();
                now += 1_000;
            }

            assertThat(orders.starts).hasSize(jobs);
        }

        /** Guards against a job that fails because its workers were silent, and not crashed. */
        @Test
        void byAnExpiredLeaseAreNoCrashes() {
            add(job);

            startAndCrash(
                    WORKERS,
                    worker -> {
                        scheduler.setUnresponsive(Samples.workerId(worker), true, now);
                        scheduler.releaseTasks(Samples.workerId(worker), now);
                    });

            assertNeverGivenUp();
        }

        /** Guards against a job that fails because its workers were taken down as planned. */
        @Test
        void byDrainingAreNoCrashes() {
            add(job);

            startAndCrash(
                    WORKERS,
                    worker -> {
                        scheduler.registerWorker(Samples.draining(worker), now);
                        vanish(worker);
                    });

            assertNeverGivenUp();
        }

        /**
         * Guards against a job that fails because its workers left as planned and were back, under
         * the same names, before a report showed that they had left.
         */
        @Test
        void byDrainingBeforeTheEntryOfTheNextIncarnationAreNoCrashes() {
            add(job);

            startAndCrash(
                    WORKERS,
                    worker -> {
                        scheduler.registerWorker(Samples.draining(worker), now);
                        now += 300;
                        scheduler.registerWorker(Samples.startedAt(worker, now), now);
                        scheduler.handleReport(
                                Samples.workerId(worker),
                                Samples.reportOf(now),
                                List.of(),
                                now,
                                now);
                    });

            assertNeverGivenUp();
        }

        /**
         * Guards against a job that fails because its workers ended by moves and maintenance that a
         * former owner ordered.
         */
        @Test
        void byOrdersOfAFormerOwnerAreNoCrashes() {
            add(job);

            startAndCrash(
                    WORKERS,
                    worker -> {
                        InstanceId instance = new InstanceId("m-" + worker);
                        scheduler.updateInstances(
                                List.of(
                                        new FleetInstance(
                                                instance,
                                                Samples.POOL,
                                                InstanceState.UP,
                                                "",
                                                Optional.of(Samples.workerId(worker)))),
                                now,
                                now);
                        scheduler.setUnresponsive(Samples.workerId(worker), true, now);
                        now += LIST_MILLIS;
                        scheduler.updateInstances(
                                List.of(
                                        new FleetInstance(
                                                instance,
                                                Samples.POOL,
                                                InstanceState.MAINTENANCE,
                                                "",
                                                Optional.empty())),
                                now,
                                now);
                    });

            assertNeverGivenUp();
        }

        /** Guards against a lasting job that fails because crashes add up over its life. */
        @Test
        void ofRunsThatServedAreNoCrashes() {
            add(Samples.job(1, Samples.lasting(1, 1, 0)));

            startAndCrash(
                    WORKERS,
                    worker -> {
                        report(worker, List.of(running(orders.lastStart())), List.of());
                        vanish(worker);
                    });

            assertNeverGivenUp();
        }
    }

    @Nested
    final class ASuspectThatEndsWell {
        /** Guards against a suspicion that keeps a task from being done. */
        @Test
        void isDone() {
            add(job);
            startAndCrash(STARTS_BEFORE_GIVING_UP - 1, CrashAttributionTest.this::vanish);
            plan();
            complete(orders.lastStart());

            assertThat(changedPhases()).containsExactly(JobPhase.COMPLETED);
        }
    }
}
