package org.quetzalscale.daemon.job;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.job.CancellationBatcher;
import org.quetzalscale.core.job.JobCodecs;
import org.quetzalscale.core.job.JobDriver;
import org.quetzalscale.core.job.JobRow;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.job.WorkerFault;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Runs the part of jobs on this instance: it competes for the lease {@code jobs} and, while it
 * holds it, drives all jobs of the fleet.
 */
public final class JobService {
    /** Time between ticks, in milliseconds. */
    public static final long TICK_MILLIS = 200;

    /** Transactions per second that the holder of the lease commits; a third of the store's. */
    private static final int WRITES_PER_SECOND = 100;

    /** Transactions per second for cancellations on all instances; a tenth of the store's. */
    private static final double CANCEL_WRITES_PER_SECOND = 30;

    private static final int ENTRY_INSTANCES = 8;
    private static final long CANCEL_FLUSH_MILLIS = 100;

    private static final long STOP_MILLIS = 5_000;

    private final LeaseKeeper keeper;
    private final JobDriver driver;
    private final JobStore store;
    private final CancellationBatcher cancellations;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "jobs");
                        thread.setDaemon(true);
                        return thread;
                    });

    /**
     * A service that is not started.
     *
     * @param self this instance
     */
    public JobService(
            TransactionalTable table, TaskRunner runner, ConfigSource config, InstanceId self) {
        TimeSource time = TimeSource.system();
        store = new JobStore(table, codecs());
        cancellations =
                new CancellationBatcher(store, time, CANCEL_WRITES_PER_SECOND / ENTRY_INSTANCES);
        keeper = new LeaseKeeper(table, Json.codec(LeaseRow.class), "jobs", self, time);
        driver =
                new JobDriver(
                        store,
                        runner,
                        config,
                        keeper::current,
                        time,
                        System::currentTimeMillis,
                        WRITES_PER_SECOND);
    }

    /** How rows of jobs are stored: as JSON. */
    public static JobCodecs codecs() {
        return new JobCodecs(
                Json.codec(JobRow.class),
                Json.codec(LimitRow.class),
                Json.codec(LedgerEntry.class),
                Json.codec(WorkerFault.class));
    }

    /** The rows of jobs. */
    public JobStore store() {
        return store;
    }

    /** The answers to submitters, which any instance gives. */
    public JobHandlers handlers() {
        return new JobHandlers(
                store, cancellations, TimeSource.system(), System::currentTimeMillis);
    }

    /** Distance of each team from its share, 0 to 1, as measured while this instance decided. */
    public Map<TeamId, Double> shareDistances() {
        return driver.shareDistances();
    }

    /** Starts to compete for the lease and to tick. */
    public void start() {
        executor.scheduleAtFixedRate(
                () -> keeper.tick(), 0, LeaseKeeper.RENEW_MILLIS, TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(
                cancellations::flush,
                CANCEL_FLUSH_MILLIS,
                CANCEL_FLUSH_MILLIS,
                TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops ticking and gives the lease back; running tasks go on under the next holder. */
    public void stop() {
        executor.shutdown();
        try {
            executor.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS);
            keeper.release().toCompletableFuture().get(STOP_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("lease of jobs was not given back: {}", e.toString());
        }
    }

    private void tick() {
        driver.tick()
                .whenComplete(
                        (nothing, thrown) -> {
                            if (thrown != null) {
                                Logger.warn(
                                        "tick of jobs failed: {}",
                                        QuetzalscaleException.from(thrown).getMessage());
                            }
                        });
    }
}
