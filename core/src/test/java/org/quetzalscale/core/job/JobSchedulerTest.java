package org.quetzalscale.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.Row;

class JobSchedulerTest {
    private static final long NOW_MILLIS = 100_000;
    private static final long LONG_MILLIS = 60_000;
    private static final WorkerId WORKER = new WorkerId("w0");
    private static final Resources CAPACITY = new Resources(64, 131_072, 0, 8);

    private final List<WaitingJob> waiting = new ArrayList<>();
    private final List<RunningJob> running = new ArrayList<>();

    private static JobSpec spec(String team, boolean urgent, int priority) {
        return new JobSpec(
                new TeamId(team), "", "run", 4, 1_024, 0, 1, 1_000, urgent, priority, 0, 3);
    }

    private static StoredJob stored(JobRow row) {
        return new StoredJob(new Row(JobKeys.openJob(row.id()), 1, row.id().value()), row);
    }

    private void queue(String id, String team, boolean urgent, int priority, Resources need) {
        JobRow row = JobRow.submitted(new JobId(id), spec(team, urgent, priority), 0);
        waiting.add(new WaitingJob(stored(row), need, Set.of()));
    }

    private void run(String id, String team, Resources use, long unsavedMillis) {
        JobRow row = JobRow.submitted(new JobId(id), spec(team, false, 0), 0).startedOn(WORKER);
        running.add(new RunningJob(stored(row), use, LONG_MILLIS, unsavedMillis, LONG_MILLIS, 100));
    }

    private JobPlan plan() {
        return plan(false);
    }

    private JobPlan plan(boolean leaving) {
        WorkerSnapshot worker = new WorkerSnapshot(WORKER, "p", CAPACITY, !leaving, leaving);
        return JobScheduler.plan(
                new FleetSnapshot(
                        NOW_MILLIS,
                        List.of(worker),
                        List.of(
                                new TeamSnapshot(new TeamId("a"), 1, 8, 8),
                                new TeamSnapshot(new TeamId("b"), 1, 8, 8)),
                        waiting,
                        running));
    }

    private static Resources size(double cores, double memoryMib) {
        return new Resources(cores, memoryMib, 0, 1);
    }

    private List<String> started() {
        return plan().starts().stream().map(start -> start.job().job().id().value()).toList();
    }

    private List<String> stopped() {
        return plan().stops().stream().map(stop -> stop.job().stored().job().id().value()).toList();
    }

    @Nested
    class Order {
        @Test
        void teamsTakeTurnsByShareAndJobsGoByUrgencyAndPriority() {
            for (int i = 0; i < 6; i++) {
                run("r" + i, "a", size(4, 100), 0);
            }
            queue("b-low", "b", false, 0, size(4, 100));
            queue("b-high", "b", false, 5, size(4, 100));
            queue("a-high", "a", false, 9, size(4, 100));
            queue("b-urgent", "b", true, -3, size(4, 100));
            assertThat(started()).containsExactly("b-urgent", "b-high");
        }
    }

    @Nested
    class Preempting {
        @Test
        void onlyBorrowedCapacityIsPreemptedLeastLossFirst() {
            for (int i = 0; i < 8; i++) {
                run("r" + i, "a", size(4, 4_000 - 400 * i), 10_000 + i);
            }
            queue("b1", "b", true, 0, size(4, 100));
            assertThat(stopped()).containsExactly("r7");
        }

        @Test
        void missingCoresAreFreedByThrottlingOnly() {
            queue("b1", "b", false, 0, size(4, 100));
            JobSpec wide =
                    new JobSpec(new TeamId("a"), "", "run", 62, 100, 0, 1, 1_000, false, 0, 0, 3);
            JobRow row = JobRow.submitted(new JobId("r1"), wide, 0).startedOn(WORKER);
            running.add(new RunningJob(stored(row), size(62, 100), LONG_MILLIS, 0, 1, 100));
            assertThat(plan().stops()).isEmpty();
            assertThat(plan().throttles())
                    .extracting(JobPlan.Throttle::percent)
                    .containsExactly(96);
        }

        /**
         * Guards against stopping many small jobs where stopping one large job frees the memory.
         */
        @Test
        void oneJobIsStoppedWhenAWorkersMemoryIsExceeded() {
            for (int i = 0; i < 6; i++) {
                run("small" + i, "a", size(1, 2_000), 0);
            }
            run("large", "a", size(1, 122_000), 0);
            assertThat(stopped()).containsExactly("large");
        }

        /** Guards against urgent jobs of a team above its share that never get a free slot. */
        @Test
        void urgentJobsPrecedeOtherJobs() {
            for (int i = 0; i < 7; i++) {
                run("r" + i, "a", size(4, 100), 0);
            }
            queue("b1", "b", false, 0, size(4, 100));
            queue("a1", "a", true, 0, size(4, 100));
            assertThat(started()).containsExactly("a1");
        }
    }

    @Nested
    class Draining {
        /** Guards against draining a worker in a way that loses work. */
        @Test
        void longJobsAreStoppedWithACheckpointAndNothingStarts() {
            run("r0", "a", size(4, 100), 0);
            queue("b1", "b", true, 0, size(4, 100));
            assertThat(plan(true).starts()).isEmpty();
            assertThat(plan(true).stops())
                    .singleElement()
                    .satisfies(stop -> assertThat(stop.checkpointFirst()).isTrue());
        }
    }

    @Nested
    class Estimates {
        private static TaskReport report(int memoryMib) {
            return new TaskReport(
                    new TaskId("x-1"),
                    WORKER,
                    TaskState.SUCCEEDED,
                    10_000,
                    80_000,
                    memoryMib,
                    "",
                    "");
        }

        @Test
        void reportsCorrectDeclarationsAndOneFalseReportDoesNot() {
            UsageEstimator estimator = new UsageEstimator();
            JobSpec spec = spec("a", false, 0);
            for (int i = 0; i < 4; i++) {
                estimator.addSample(spec, report(2_048));
            }
            estimator.addSample(spec, report(1_000_000));
            assertThat(estimator.need(spec).cores()).isEqualTo(8);
            assertThat(estimator.need(spec).memoryMib()).isEqualTo(2_048);
            assertThat(estimator.runMillis(spec)).isEqualTo(10_000);
        }
    }
}
