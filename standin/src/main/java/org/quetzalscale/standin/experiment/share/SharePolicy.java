package org.quetzalscale.standin.experiment.share;

import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.job.JobCodecs;
import org.quetzalscale.core.job.JobDriver;
import org.quetzalscale.core.job.JobRow;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.job.WorkerFault;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.json.Json;

/** The product's own driver over a table in memory. */
final class SharePolicy implements Policy {
    private static final int WRITES_PER_SECOND = 100;

    private final TimeSource time;
    private final JobStore store;
    private final LeaseKeeper keeper;
    private final JobDriver driver;
    private long renewAtMillis;

    SharePolicy(ConfigSource config, TaskRunner runner, TimeSource time) {
        this.time = time;
        InMemoryTable table = new InMemoryTable();
        JobCodecs codecs =
                new JobCodecs(
                        Json.codec(JobRow.class),
                        Json.codec(LimitRow.class),
                        Json.codec(LedgerEntry.class),
                        Json.codec(WorkerFault.class));
        store = new JobStore(table, codecs);
        keeper =
                new LeaseKeeper(
                        table,
                        Json.codec(LeaseRow.class),
                        "jobs",
                        new InstanceId("experiment"),
                        time);
        driver =
                new JobDriver(
                        store, runner, config, keeper::current, time, time, WRITES_PER_SECOND);
    }

    @Override
    public void submit(Workload.Arrival arrival) {
        store.submit(arrival.id(), arrival.spec(), time.nowMillis());
    }

    @Override
    public boolean isIdle() {
        return store.openJobs().toCompletableFuture().join().isEmpty();
    }

    @Override
    public void tick() {
        if (time.nowMillis() >= renewAtMillis) {
            renewAtMillis = time.nowMillis() + LeaseKeeper.RENEW_MILLIS;
            keeper.tick();
        }
        driver.tick().toCompletableFuture().join();
    }
}
