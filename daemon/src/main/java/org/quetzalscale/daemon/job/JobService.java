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
 * The job service of one instance. It competes for the lease {@code jobs} and schedules all jobs of
 * the fleet while it holds the lease.
 */
public final class JobService {
    /** Time between ticks, in milliseconds. */
    public static final long TICK_MILLIS = 200;

    /**
     * Transactions per second that the lease holder may commit; a third of the store's capacity.
     */
    private static final int WRITES_PER_SECOND = 100;

    /**
     * Transactions per second for cancellations on all instances; a tenth of the store's capacity.
     */
    private static final double CANCEL_WRITES_PER_SECOND = 30;

    /** Number of instances that {@link #CANCEL_WRITES_PER_SECOND} is divided by. */
    private static final int ENTRY_INSTANCES = 8;

    private static final long CANCEL_FLUSH_MILLIS = 100;

    private static final long STOP_TIMEOUT_MILLIS = 5_000;

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
     * Creates a service; {@link #start} starts it.
     *
     * @param self id of this instance
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

    /** Codecs of the job rows, which are stored as JSON. */
    public static JobCodecs codecs() {
        return new JobCodecs(
                Json.codec(JobRow.class),
                Json.codec(LimitRow.class),
                Json.codec(LedgerEntry.class),
                Json.codec(WorkerFault.class));
    }

    /** The store of the job rows. */
    public JobStore store() {
        return store;
    }

    /** The HTTP handlers for submitters; they work on every instance. */
    public JobHandlers handlers() {
        return new JobHandlers(
                store, cancellations, TimeSource.system(), System::currentTimeMillis);
    }

    /**
     * Fraction of its entitlement that each team did not get since this instance started, 0 to 1.
     */
    public Map<TeamId, Double> shareDistances() {
        return driver.shareDistances();
    }

    /** Starts to compete for the lease and to schedule jobs. */
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

    /** Stops scheduling and releases the lease; running tasks continue under the next holder. */
    public void stop() {
        executor.shutdown();
        try {
            executor.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            keeper.release().toCompletableFuture().get(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("could not release the jobs lease: {}", e.toString());
        }
    }

    private void tick() {
        driver.tick()
                .whenComplete(
                        (ignored, thrown) -> {
                            if (thrown != null) {
                                Logger.warn(
                                        "scheduling jobs failed: {}",
                                        QuetzalscaleException.from(thrown).getMessage());
                            }
                        });
    }
}
