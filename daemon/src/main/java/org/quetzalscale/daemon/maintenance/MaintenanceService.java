package org.quetzalscale.daemon.maintenance;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.quetzalscale.core.config.ConfigReader;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.WorkerControl;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.lease.LeaseKeeper;
import org.quetzalscale.core.lease.LeaseRow;
import org.quetzalscale.core.maintenance.AssignmentWriter;
import org.quetzalscale.core.maintenance.BudgetRow;
import org.quetzalscale.core.maintenance.FleetState;
import org.quetzalscale.core.maintenance.FleetView;
import org.quetzalscale.core.maintenance.WavePlanner;
import org.quetzalscale.core.maintenance.WaveRow;
import org.quetzalscale.core.maintenance.WaveRunner;
import org.quetzalscale.core.maintenance.WaveStatus;
import org.quetzalscale.core.placement.MoveRunner;
import org.quetzalscale.core.placement.PoolNeeds;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.config.ChangeJson;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Runs maintenance and moves on this instance, which competes for the leases {@code waves} and
 * {@code placement}. The holder of the first executes all waves and declared drains of the fleet,
 * the holder of the second all moves between pools.
 */
public final class MaintenanceService {
    /** Time between ticks, in milliseconds. */
    public static final long TICK_MILLIS = 1_000;

    private static final long STOP_MILLIS = 5_000;

    private final LeaseKeeper waves;
    private final WaveRunner waveRunner;
    private final AtomicBoolean wavesBusy = new AtomicBoolean();
    private final LeaseKeeper placement;
    private final MoveRunner moveRunner;
    private final AtomicBoolean movesBusy = new AtomicBoolean();
    private final Supplier<Map<PoolId, Integer>> demand;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "maintenance");
                        thread.setDaemon(true);
                        return thread;
                    });

    /**
     * Creates a service; {@link #start} starts it.
     *
     * @param fleet this instance's knowledge of the workers
     * @param demand number of workers that the running and waiting work of each pool would keep
     *     busy
     */
    public MaintenanceService(
            TransactionalTable table,
            ConfigService config,
            WorkerControl control,
            FleetView fleet,
            Supplier<Map<PoolId, Integer>> demand,
            TimeSource time) {
        this.demand = demand;
        AssignmentWriter assignments =
                new AssignmentWriter(
                        table,
                        new ConfigReader(table, ChangeJson.CODECS),
                        Json.codec(BudgetRow.class),
                        config::snapshot,
                        config::accept);
        waves = new LeaseKeeper(table, Json.codec(LeaseRow.class), "waves", config.self(), time);
        waveRunner =
                new WaveRunner(
                        table,
                        assignments,
                        Json.codec(WaveRow.class),
                        control,
                        fleet,
                        time,
                        System::currentTimeMillis);
        placement =
                new LeaseKeeper(
                        table, Json.codec(LeaseRow.class), "placement", config.self(), time);
        moveRunner = new MoveRunner(assignments, fleet, this::needs, time);
    }

    /** Starts competing for the leases and running the ticks. */
    public void start() {
        executor.scheduleAtFixedRate(
                placement::tick, 0, LeaseKeeper.RENEW_MILLIS, TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(
                () -> tick("placement", placement, this::tickMoves, movesBusy),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(
                waves::tick, 0, LeaseKeeper.RENEW_MILLIS, TimeUnit.MILLISECONDS);
        executor.scheduleAtFixedRate(
                () -> tick("waves", waves, waveRunner::tick, wavesBusy),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops the ticks and releases the leases; the next holders resume from the stored rows. */
    public void stop() {
        executor.shutdown();
        try {
            executor.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS);
            placement.release().toCompletableFuture().get(STOP_MILLIS, TimeUnit.MILLISECONDS);
            waves.release().toCompletableFuture().get(STOP_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("failed to release the maintenance leases: {}", e.toString());
        }
    }

    /**
     * Reads the entries of all waves by name from the table, for the operator interface. Fails with
     * STORE_UNAVAILABLE.
     */
    public CompletionStage<Map<String, Object>> readStatus() {
        return waveRunner.state().thenApply(MaintenanceService::status);
    }

    /** Returns the entries of all waves by name as of the last read; empty before the first one. */
    public Map<String, Object> status() {
        return waveRunner.lastState().map(MaintenanceService::status).orElse(Map.of());
    }

    private static Map<String, Object> status(FleetState state) {
        Map<String, Object> entries = new TreeMap<>();
        long wallMillis = System.currentTimeMillis();
        state.snapshot()
                .all(Kind.WAVES)
                .keySet()
                .forEach(
                        name ->
                                entries.put(
                                        name, WaveStatus.of(state, new WaveId(name), wallMillis)));
        return entries;
    }

    /**
     * Returns the pools' demand. It includes pools whose maintenance waits for a worker, also if
     * another instance executes the waves.
     */
    private PoolNeeds needs(ConfigSnapshot snapshot) {
        Set<PoolId> due =
                waveRunner.lastState().map(state -> WavePlanner.plan(state).due()).orElse(Set.of());
        return new PoolNeeds(demand.get(), due);
    }

    private CompletionStage<Void> tickMoves(Condition fence) {
        return waveRunner.state().thenCompose(state -> moveRunner.tick(fence));
    }

    private static void tick(
            String name,
            LeaseKeeper lease,
            Function<Condition, CompletionStage<Void>> runner,
            AtomicBoolean busy) {
        if (lease.current().isEmpty() || !busy.compareAndSet(false, true)) {
            return;
        }
        CompletionStage<Void> run;
        try {
            run = runner.apply(lease.current().orElseThrow().fence());
        } catch (RuntimeException e) {
            run = CompletableFuture.failedFuture(e);
        }
        run.whenComplete(
                (nothing, failure) -> {
                    busy.set(false);
                    if (failure != null) {
                        Logger.warn(
                                "tick of {} failed: {}",
                                name,
                                QuetzalscaleException.from(failure).getMessage());
                    }
                });
    }
}
