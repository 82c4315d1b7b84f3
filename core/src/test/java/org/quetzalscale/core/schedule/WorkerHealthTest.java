package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;

/**
 * Workers and tasks that fail. The workers report every 100 ms; a task ends after 500 ms, as failed
 * if its job or its worker is a failing one.
 */
final class WorkerHealthTest extends SchedulerFixture {
    private static final int LASTING_JOB = 1;
    private static final int HOPELESS_JOB = 2;
    private static final int FIRST_SMALL_JOB = 10;
    private static final int REPORT_MILLIS = 100;
    private static final int RUN_MILLIS = 500;

    /** How long accepted work may wait beside free capacity. */
    private static final int MAX_WAIT_MILLIS = 3_000;

    private final Set<JobId> failingJobs = new HashSet<>();
    private final Map<WorkerId, List<Run>> running = new java.util.TreeMap<>();
    private IntPredicate workerFails = worker -> false;
    private int handledStarts;
    private long endNumber;

    /** A run on a worker, with the time of its start. */
    private record Run(RecordedOrders.Start start, long sinceMillis) {}

    WorkerHealthTest() {
        super(Samples.policy(NO_CAP));
    }

    private void addWorkers(int count) {
        for (int worker = 1; worker <= count; worker++) {
            running.put(Samples.workerId(worker), new ArrayList<>());
            addWorker(worker);
        }
    }

    private void runFor(long millis) {
        for (long end = now + millis; now < end; now += REPORT_MILLIS) {
            plan();
            for (; handledStarts < orders.starts.size(); handledStarts++) {
                RecordedOrders.Start start = orders.starts.get(handledStarts);
                confirm(start);
                running.get(start.worker()).add(new Run(start, now));
            }
            running.keySet().forEach(this::reportRuns);
        }
    }

    private void reportRuns(WorkerId id) {
        int worker = Integer.parseInt(id.value().substring(2));
        List<RunningTask> listed = new ArrayList<>();
        List<FinishedRun> ends = new ArrayList<>();
        for (Run run : List.copyOf(running.get(id))) {
            JobId job = run.start().order().task().job();
            boolean lasts = job.equals(Samples.jobId(LASTING_JOB));
            if (lasts || now - run.sinceMillis() < RUN_MILLIS) {
                listed.add(
                        running(run.start(), lasts ? 100 : (int) (now - run.sinceMillis()) / 10));
                continue;
            }
            boolean fails = failingJobs.contains(job) || workerFails.test(worker);
            ends.add(end(++endNumber, run.start(), fails ? RunEnd.FAILED : RunEnd.DONE));
            running.get(id).remove(run);
        }
        report(worker, listed, ends);
    }

    private void addLastingTasks(int count) {
        add(Samples.job(LASTING_JOB, Samples.lasting(count, 1, 1)));
        runFor(RUN_MILLIS);
    }

    private void addHopelessJob(int tasks) {
        JobDefinition job = Samples.job(HOPELESS_JOB, Samples.step(tasks, 1));
        failingJobs.add(job.id());
        add(job);
    }

    private long startsOn(int worker) {
        return orders.starts.stream()
                .filter(start -> start.worker().equals(Samples.workerId(worker)))
                .count();
    }

    private boolean hasStarted(int job) {
        return orders.starts.stream()
                .anyMatch(start -> start.order().task().job().equals(Samples.jobId(job)));
    }

    private void assertThatSmallJobsStartInTime(int jobs) {
        for (int job = FIRST_SMALL_JOB; job < FIRST_SMALL_JOB + jobs; job++) {
            add(Samples.job(job, Samples.step(1, 1)));
            runFor(MAX_WAIT_MILLIS);
            assertThat(hasStarted(job)).as("start of job %d", job).isTrue();
        }
    }

    @Nested
    class JobThatCannotBeDone {
        @BeforeEach
        void addJob() {
            addWorkers(4);
            addLastingTasks(4);
            addHopelessJob(16);
        }

        /** Guards against workers that start nothing any more beside a lasting task (LOST). */
        @Test
        void leavesRoomForOtherJobs() {
            runFor(RUN_MILLIS);
            assertThatSmallJobsStartInTime(6);
        }

        /** Guards against a job that never ends because its workers are suspected (LOST). */
        @Test
        void failsByItsAttempts() {
            runFor(10_000);
            assertThat(scheduler.takeChangedJobs())
                    .anyMatch(
                            job ->
                                    job.job().equals(Samples.jobId(HOPELESS_JOB))
                                            && job.phase().isFinal());
        }
    }

    @Nested
    class OnlyWorkerOfAPool {
        /** Guards against a pool that one job stops, because it cannot fail elsewhere (LOST). */
        @Test
        void startsOtherJobsBesideOneThatFails() {
            addWorkers(1);
            addLastingTasks(1);
            addHopelessJob(8);
            runFor(RUN_MILLIS);
            assertThatSmallJobsStartInTime(3);
        }

        /** Guards against work that waits for as long as a task without a result runs. */
        @Test
        void startsOtherJobsBesideATaskWithoutResult() {
            addWorkers(1);
            addHopelessJob(8);
            runFor(RUN_MILLIS + REPORT_MILLIS);
            add(Samples.job(LASTING_JOB, Samples.lasting(1, 1, 1)));
            assertThatSmallJobsStartInTime(2);
        }
    }

    @Nested
    class LastingTasksThatFail {
        /**
         * Guards against workers that drop out one after the other, because tasks that last end.
         */
        @Test
        void doNotCountAgainstTheirWorkerOnceTheyServed() {
            addWorkers(1);
            addLastingTasks(4);
            List<FinishedRun> ends = new ArrayList<>();
            running.get(Samples.workerId(1))
                    .forEach(run -> ends.add(end(++endNumber, run.start(), RunEnd.FAILED)));
            running.get(Samples.workerId(1)).clear();
            report(1, List.of(), ends);

            assertThat(scheduler.fleet().workers.get(Samples.workerId(1)).health.isSuspect(now))
                    .isFalse();
        }
    }

    @Nested
    class WorkerThatFailsAll {
        /** Guards against a worker that takes most of a load and fails it. */
        @Test
        void receivesLittle() {
            workerFails = worker -> worker == 1;
            addWorkers(4);
            for (int job = FIRST_SMALL_JOB; job < FIRST_SMALL_JOB + 40; job++) {
                add(Samples.job(job, Samples.step(2, 8)));
                runFor(200);
            }
            assertThat(startsOn(1)).isLessThan(20);
            assertThat(startsOn(2)).isGreaterThan(20);
        }

        /**
         * Guards against jobs that are blamed for two bad workers, which then take most of a load
         * and fail it.
         */
        @Test
        void receivesLittleBesideAnotherOne() {
            workerFails = worker -> worker <= 2;
            addWorkers(6);
            for (int job = FIRST_SMALL_JOB; job < FIRST_SMALL_JOB + 40; job++) {
                add(Samples.job(job, Samples.step(6, 4)));
                runFor(200);
            }
            assertThat(startsOn(1) + startsOn(2)).isLessThan(60);
        }

        /** Guards against a worker that takes the tasks of one large step and fails them. */
        @Test
        void receivesLittleOfOneLargeStep() {
            workerFails = worker -> worker == 1;
            addWorkers(4);
            add(Samples.job(FIRST_SMALL_JOB, Samples.step(200, 1)));
            runFor(4_000);
            assertThat(startsOn(1)).isLessThan(30);
        }

        /** Guards against a worker that stays suspected after it has recovered. */
        @Test
        void receivesMoreAgainAfterASuccess() {
            workerFails = worker -> worker == 1 && now < 5_000;
            addWorkers(2);
            for (int job = FIRST_SMALL_JOB; job < FIRST_SMALL_JOB + 60; job++) {
                add(Samples.job(job, Samples.step(2, 8)));
                runFor(200);
            }
            assertThat(startsOn(1)).isGreaterThan(20);
        }
    }
}
