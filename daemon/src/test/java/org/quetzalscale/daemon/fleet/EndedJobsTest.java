package org.quetzalscale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.schedule.OrderSender;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;

/** Deletion of the rows of ended jobs, in virtual time. */
final class EndedJobsTest implements WorkerSession.Term {
    private static final RowKey EPOCH = new RowKey("lease/fleet/epoch");
    private static final int JOBS_PER_SECOND = 50;
    private static final int SECONDS = 120;
    private static final long RETENTION_MILLIS = 10_000;

    /** What is kept after the retention of a state. */
    private static final long MARGIN_MILLIS = 60_000;

    private final VirtualLoop loop = new VirtualLoop();
    private final SimulatedStore store = new SimulatedStore(loop, new Random(1));
    private final FleetScheduler scheduler =
            new FleetScheduler(SimulatedJobs.policy(1), new NoOrders(), 0);

    private static final class NoOrders implements OrderSender {
        @Override
        public void start(WorkerId worker, StartOrder order) {}

        @Override
        public void stop(WorkerId worker, TaskRef task, long run) {}

        @Override
        public void pace(WorkerId worker, TaskRef task, long run, int percent) {}
    }

    @Override
    public FleetScheduler scheduler() {
        return scheduler;
    }

    @Override
    public void planSoon() {}

    @Override
    public void fenced(String by) {}

    @Override
    public boolean ended() {
        return false;
    }

    @Override
    public boolean jobsLoaded() {
        return true;
    }

    @Override
    public long pauses() {
        return 0;
    }

    /** Guards against rows and memory that grow for ever while jobs end at a high rate. */
    @Test
    void keepsUpWithTheJobsThatEnd() {
        store.put(EPOCH.value(), "node-1");
        SimulatedProcess process = new SimulatedProcess(loop);
        LoopClock clock =
                new LoopClock(loop.executor(process::run), loop::nowMillis, loop::nowMillis);
        EndedJobs ended =
                new EndedJobs(
                        store.clientFor(process),
                        clock,
                        new Condition(EPOCH, store.rows(EPOCH.value()).get(0).version()),
                        this,
                        RETENTION_MILLIS);
        ended.deletePeriodically();
        for (int number = 0; number < JOBS_PER_SECOND * SECONDS; number++) {
            JobId id = new JobId(String.format("%016x", number));
            loop.after(
                    number * 1_000L / JOBS_PER_SECOND,
                    () -> {
                        store.put(FleetRows.job(id).value(), "{}");
                        ended.add(id);
                    });
        }
        loop.runUntil(SECONDS * 1_000L);

        long kept = FleetRows.JOB_PREFIXES.stream().mapToLong(p -> store.rows(p).size()).sum();
        long keptSeconds = (RETENTION_MILLIS + MARGIN_MILLIS) / 1_000 + 5;
        assertThat(kept).isLessThanOrEqualTo(keptSeconds * JOBS_PER_SECOND);
    }
}
