package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.WorkerReport;

/** Guards against a wrong or missing reason why a job waits, as shown to operators. */
final class FleetOverviewTest {
    private static final double CAP_CORES = 4;

    private final RecordedOrders orders = new RecordedOrders();
    private final FleetScheduler scheduler =
            new FleetScheduler(Samples.policy(CAP_CORES), orders, 0);
    private final FleetOverview overview = new FleetOverview(scheduler);
    private long now = 1_000;

    private void add(JobDefinition job) {
        scheduler.addJob(job, Optional.empty(), now, now);
    }

    private void addWorker(int worker) {
        scheduler.registerWorker(Samples.worker(worker), now);
        scheduler.handleReport(
                Samples.workerId(worker),
                new WorkerReport(now, 1, List.of(), List.of()),
                List.of(),
                now,
                now);
    }

    private WaitReason reason(int job, int step) {
        return overview.job(Samples.jobId(job), now).orElseThrow().steps().get(step).reason();
    }

    @Test
    void reportsWhyATaskWaits() {
        add(Samples.job(1, Samples.step(1, 1), Samples.step(1, 1, 0)));
        assertThat(reason(1, 0)).isEqualTo(WaitReason.NO_ROOM);
        assertThat(reason(1, 1)).isEqualTo(WaitReason.EARLIER_STEPS);
        addWorker(1);
        assertThat(reason(1, 0)).isEqualTo(WaitReason.TURN);
        scheduler.plan(now, 0);
        assertThat(reason(1, 0)).isEqualTo(WaitReason.NONE);
        add(Samples.job(2, Samples.step(1, CAP_CORES)));
        assertThat(reason(2, 0)).isEqualTo(WaitReason.ORGANISATION_CAP);
        add(Samples.job(3, new Recurrence(1, 60_000, 1), Samples.step(1, 1)));
        assertThat(reason(3, 0)).isEqualTo(WaitReason.NOT_DUE);
        scheduler.cancel(Samples.jobId(2), now);
        assertThat(reason(2, 0)).isEqualTo(WaitReason.JOB_ENDED);
        add(Samples.job(4, Samples.step(1, 1)));
        scheduler.holdRecoveredJobs();
        assertThat(reason(4, 0)).isEqualTo(WaitReason.OWNER_CHANGED);
    }

    @Test
    void countsJobsAndWorkers() {
        addWorker(1);
        scheduler.registerWorker(Samples.worker(2), now);
        add(Samples.job(1, Samples.step(2, 1)));
        add(Samples.job(2, Samples.step(1, 1), Samples.step(1, 1, 0)));
        scheduler.plan(now, 0);

        FleetOverview.PoolView pool = overview.pools().get(Samples.POOL);
        assertThat(pool.workers()).isEqualTo(2);
        assertThat(pool.unresponsive()).isEqualTo(1);
        assertThat(pool.tasks()).isEqualTo(3);
        assertThat(pool.coresUsed()).isEqualTo(3);
        assertThat(overview.jobs().get(Samples.QUEUE)).containsEntry(JobPhase.RUNNING, 2);
        assertThat(overview.job(Samples.jobId(9), now)).isEmpty();
    }
}
