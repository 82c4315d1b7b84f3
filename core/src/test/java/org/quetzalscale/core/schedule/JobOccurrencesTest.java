package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;

/** Jobs whose steps run many times, and jobs with many tasks. */
final class JobOccurrencesTest extends SchedulerFixture {
    private static final int TASKS = 24;
    private static final int REPETITIONS = 8_640;
    private static final long START_MILLIS = 1_000_000;
    private static final long INTERVAL_MILLIS = 300_000;
    private static final Recurrence REPEATED =
            new Recurrence(REPETITIONS, START_MILLIS, INTERVAL_MILLIS);

    private long endNumber;

    JobOccurrencesTest() {
        super(Samples.policy(NO_CAP));
    }

    private JobDefinition repeated(int number) {
        return Samples.job(number, REPEATED, Samples.step(TASKS, 1));
    }

    private long openTasks() {
        return scheduler.fleet().openTasks.count();
    }

    private void planAt(long epochMillis) {
        now += 100;
        scheduler.plan(now, epochMillis);
    }

    /** Ends all runs of the job's occurrence on worker 1. */
    private void endOccurrence(int job, int occurrence, RunEnd how) {
        List<FinishedRun> ends =
                orders.starts.stream()
                        .filter(start -> start.order().task().job().equals(Samples.jobId(job)))
                        .filter(start -> start.order().task().occurrence() == occurrence)
                        .map(start -> end(++endNumber, start, how))
                        .toList();
        report(1, List.of(), ends);
    }

    private void addLargeWorker() {
        scheduler.registerWorker(Samples.withCores(1, 10_000), now);
        report(1, List.of(), List.of());
    }

    @Nested
    class OccurrencesThatAreNotDue {
        /** Guards against an owner whose memory grows with the declared repetitions (LOST). */
        @Test
        void holdNoTasks() {
            for (int job = 1; job <= 1_000; job++) {
                add(repeated(job));
            }
            planAt(0);

            assertThat(openTasks()).isZero();
        }

        /** Guards against a start before its time, and against one that is missed. */
        @Test
        void startWhenTheyAreDue() {
            addLargeWorker();
            add(repeated(1));
            planAt(START_MILLIS - 1);
            assertThat(orders.starts).isEmpty();

            planAt(START_MILLIS);
            assertThat(orders.starts).hasSize(TASKS);
            planAt(START_MILLIS + INTERVAL_MILLIS);
            assertThat(orders.starts).hasSize(2 * TASKS);
        }

        /** Guards against a second run of a task whose occurrence this owner has not opened. */
        @Test
        void areOpenedByAReportOfTheirRuns() {
            add(repeated(1));
            scheduler.registerWorker(Samples.withCores(1, 10_000), now);
            TaskRef task = new TaskRef(Samples.jobId(1), 3, 0, 0);
            report(1, List.of(new RunningTask(task, 7, "", 10, 0)), List.of());

            assertThat(orders.stops).isEmpty();
            assertThat(openTasks()).isEqualTo(TASKS);
        }
    }

    @Nested
    class OccurrencesThatAreDone {
        /** Guards against memory and records that grow with each occurrence that ends. */
        @Test
        void holdNoTasksAndTakeOneBitOfTheRecord() {
            addLargeWorker();
            add(repeated(1));
            for (int occurrence = 0; occurrence < 50; occurrence++) {
                planAt(START_MILLIS + occurrence * INTERVAL_MILLIS);
                endOccurrence(1, occurrence, RunEnd.DONE);
            }

            JobProgress progress = scheduler.takeChangedJobs().get(0);
            assertThat(openTasks()).isZero();
            assertThat(progress.steps()).isEmpty();
            assertThat(progress.doneOccurrences().cardinality()).isEqualTo(50);
        }

        /** Guards against a second run of an occurrence that an earlier owner recorded as done. */
        @Test
        void areNotRunByTheNextOwner() {
            addLargeWorker();
            add(repeated(1));
            planAt(START_MILLIS);
            endOccurrence(1, 0, RunEnd.DONE);
            JobProgress recorded = scheduler.takeChangedJobs().get(0);

            scheduler = new FleetScheduler(Samples.policy(NO_CAP), orders, 0);
            orders.starts.clear();
            addLargeWorker();
            scheduler.addJob(repeated(1), Optional.of(recorded), now, now);
            planAt(START_MILLIS);
            assertThat(orders.starts).isEmpty();
            planAt(START_MILLIS + INTERVAL_MILLIS);
            assertThat(orders.starts).hasSize(TASKS);
        }

        /** Guards against a run of an occurrence that is done and goes on unnoticed. */
        @Test
        void haveTheirOtherRunsStopped() {
            addLargeWorker();
            add(repeated(1));
            planAt(START_MILLIS);
            endOccurrence(1, 0, RunEnd.DONE);
            TaskRef task = new TaskRef(Samples.jobId(1), 0, 0, 0);
            report(1, List.of(new RunningTask(task, 99, "", 10, 0)), List.of());

            assertThat(orders.stops).hasSize(1);
            assertThat(scheduler.fleet().workers.get(Samples.workerId(1)).orphanedRuns.values())
                    .containsExactly(Samples.step(TASKS, 1).reserved());
        }

        /** Guards against a job that is never shown as completed. */
        @Test
        void completeTheJobWhenNoneIsLeft() {
            addLargeWorker();
            add(Samples.job(1, new Recurrence(2, START_MILLIS, 0), Samples.step(TASKS, 1)));
            planAt(START_MILLIS);
            endOccurrence(1, 1, RunEnd.DONE);
            assertThat(scheduler.takeChangedJobs().get(0).phase()).isEqualTo(JobPhase.QUEUED);
            endOccurrence(1, 0, RunEnd.DONE);

            assertThat(scheduler.takeChangedJobs().get(0).phase()).isEqualTo(JobPhase.COMPLETED);
        }
    }

    @Nested
    class LargeLoads {
        private static final long BOUND = 200_000;

        /** Guards against memory that grows with the occurrences that are due together. */
        @Test
        void openOccurrencesOneAfterTheOther() {
            for (int job = 1; job <= 100; job++) {
                add(Samples.job(job, new Recurrence(10_000, 0, 0), Samples.step(100, 1)));
            }
            planAt(START_MILLIS);

            assertThat(openTasks()).isLessThanOrEqualTo(BOUND);
        }

        /** Guards against small jobs that wait for the memory of large ones. */
        @Test
        void leaveRoomForSmallJobs() {
            addLargeWorker();
            for (int job = 1; job <= 100; job++) {
                add(Samples.job(job, Samples.step(10_000, 20_000)));
            }
            planAt(0);
            add(Samples.job(101, Samples.step(1, 1)));
            planAt(0);

            assertThat(openTasks()).isLessThanOrEqualTo(BOUND);
            assertThat(orders.starts).hasSize(1);
        }

        /** Guards against jobs that end and keep their memory until their state is forgotten. */
        @Test
        void holdNoTasksOfJobsThatHaveEnded() {
            addLargeWorker();
            add(Samples.job(1, Samples.step(10_000, 1_000)));
            planAt(0);
            assertThat(orders.starts).hasSize(10);
            scheduler.cancel(Samples.jobId(1), now);
            assertThat(orders.stops).hasSize(10);
            assertThat(openTasks()).as("runs are being stopped").isEqualTo(10_000);

            endOccurrence(1, 0, RunEnd.STOPPED);
            assertThat(openTasks()).isZero();
        }
    }
}
