package org.quetzalscale.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.limit.BlockHolder;
import org.quetzalscale.core.limit.HolderLivenessTracker;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.maintenance.FleetView;
import org.quetzalscale.core.queue.FairAdmissionController;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.retry.ExpiredIntentCleaner;
import org.quetzalscale.core.retry.IntentRow;
import org.quetzalscale.core.retry.RetryBudget;
import org.quetzalscale.core.retry.TableIntentLog;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.caller.CallerLimits;
import org.quetzalscale.daemon.caller.CallerServer;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.job.JobRoutes;
import org.quetzalscale.daemon.job.JobService;
import org.quetzalscale.daemon.job.TaskCensus;
import org.quetzalscale.daemon.maintenance.MaintenanceService;
import org.quetzalscale.daemon.metrics.DaemonMetrics;
import org.quetzalscale.daemon.metrics.MetricSources;
import org.quetzalscale.daemon.operator.OperatorHooks;
import org.quetzalscale.daemon.operator.OperatorServer;
import org.quetzalscale.daemon.platform.DirectoryWatch;
import org.quetzalscale.daemon.platform.Platform;
import org.quetzalscale.daemon.settings.Settings;
import org.quetzalscale.daemon.sibling.SiblingHooks;
import org.quetzalscale.daemon.sibling.SiblingMesh;
import org.quetzalscale.daemon.target.TargetClient;
import org.quetzalscale.daemon.target.TargetLimits;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/** One entry instance: all services of the process, started and stopped in order. */
public final class Daemon {
    private static final RowCodec<IntentRow> INTENT_CODEC = Json.codec(IntentRow.class);
    private static final long COLLECT_MILLIS = 60_000;
    private static final long CENSUS_MILLIS = 1_000;
    private static final long PLATFORM_TIMEOUT_MILLIS = 3_000;
    private static final long DRAIN_MARGIN_MILLIS = 5_000;

    private final Settings settings;
    private final EventLoopGroup loops;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "ticks");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Platform platform;
    private final DirectoryWatch directory;
    private final ConfigService config;
    private final BlockHolder units;
    private final FairAdmissionController admission;
    private final SiblingMesh siblings;
    private final DaemonMetrics metrics;
    private final TargetClient targets;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final JobService jobs;
    private final TaskCensus tasks;
    private final FleetLoad load;
    private final MaintenanceService maintenance;
    private final TableIntentLog intents;
    private final ExpiredIntentCleaner collector;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean ready;

    /** Creates all services; none listens yet. */
    public Daemon(Settings settings) {
        TimeSource time = TimeSource.system();
        this.settings = settings;
        loops = EventLoops.create(settings.eventLoopThreads(), "io");
        platform = platform();
        directory = new DirectoryWatch(platform.directory(), executor);
        HolderLivenessTracker gone = new HolderLivenessTracker();
        directory.addEntryListener(members -> gone.update(members, time.nowMillis()));
        config =
                new ConfigService(
                        settings.instanceId(), platform.table(), platform.objects(), time);
        WorkerChooser workers = new WorkerChooser(config, directory::isLeaving, new Random(), time);
        units =
                new BlockHolder(
                        settings.instanceId(),
                        platform.table(),
                        Json.codec(LimitRow.class),
                        time,
                        holder -> gone.isReclaimable(holder, time.nowMillis()),
                        this::unitsArrived,
                        executor);
        admission =
                new FairAdmissionController(config, units, workers, new RetryBudget(time), time);
        jobs = new JobService(platform.table(), platform.tasks(), config, settings.instanceId());
        tasks = new TaskCensus(jobs.store(), time);
        load = new FleetLoad(config, admission, workers, tasks, config::known);
        siblings = siblings(workers, time);
        config.connect(siblings);
        metrics = metrics(workers);
        maintenance = maintenance(time);
        targets =
                new TargetClient(
                        time,
                        TargetLimits.defaults(),
                        address -> workerAt(address).ifPresent(workers::markShuttingDown));
        intents =
                new TableIntentLog(
                        settings.instanceId(),
                        Long.toHexString(config.incarnation()),
                        platform.table(),
                        platform.objects(),
                        INTENT_CODEC,
                        time,
                        System::currentTimeMillis,
                        gone::isGone,
                        this::after);
        collector = new ExpiredIntentCleaner(platform.table(), INTENT_CODEC);
        callers = callers(time);
        operators = operators();
    }

    /** Starts all services; fails if a port can't be bound. */
    public void start() {
        siblings.start();
        platform.start();
        directory.start();
        config.start();
        every(FairAdmissionController.TICK_MILLIS, admission::tick);
        every(BlockHolder.TICK_MILLIS, units::tick);
        every(COLLECT_MILLIS, this::collectIntents);
        every(CENSUS_MILLIS, this::countTasks);
        jobs.start();
        maintenance.start();
        callers.start();
        operators.start();
        ready = true;
        Logger.info("instance {} started", settings.instanceId());
    }

    /** The port for callers. */
    public int callerPort() {
        return callers.port();
    }

    /** The port for operators. */
    public int operatorPort() {
        return operators.port();
    }

    /** Waits until the services are stopped. */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    /**
     * Stops gracefully: no longer ready, requests that run are finished up to the bound, then
     * everything is closed.
     */
    public void stop() {
        ready = false;
        Logger.info("instance {} stops gracefully", settings.instanceId());
        await("leaving the platform's list", platform.leave(), PLATFORM_TIMEOUT_MILLIS);
        long boundMillis = settings.drainBoundMillis() + DRAIN_MARGIN_MILLIS;
        Integer left = await("running requests", callers.beginDrain(), boundMillis);
        if (left != null && left > 0) {
            Logger.warn("{} requests still ran at the bound and are cut", left);
        }
        callers.stop();
        await("returning units", units.stop(), PLATFORM_TIMEOUT_MILLIS);
        maintenance.stop();
        jobs.stop();
        operators.stop();
        // Last of those that write the configuration: a refused connection tells the others that
        // this process has ended.
        siblings.stop();
        config.stop();
        directory.stop();
        targets.stop();
        await("closing the platform", platform.stop(), PLATFORM_TIMEOUT_MILLIS);
        executor.shutdownNow();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        Logger.info("instance {} stopped", settings.instanceId());
        stopped.countDown();
    }

    private Platform platform() {
        return settings.platformAddress()
                .map(
                        remote ->
                                Platform.connect(
                                        remote,
                                        loops,
                                        settings.instanceId().value(),
                                        () -> self(siblingPort())))
                .orElseGet(
                        () ->
                                Platform.embedded(
                                        loops,
                                        self(settings.siblingAddress().getPort()),
                                        TimeSource.system()));
    }

    private int siblingPort() {
        return siblings.port();
    }

    private Member self(int siblingPort) {
        return new Member(
                settings.instanceId().value(),
                MemberRole.ENTRY,
                settings.zone(),
                settings.siblingAddress().getHostString() + ":" + siblingPort,
                MemberState.LIVE);
    }

    private SiblingMesh siblings(WorkerChooser workers, TimeSource time) {
        SiblingHooks hooks =
                new SiblingHooks(
                        load::own,
                        (sibling, reported) ->
                                workers.updateSiblingLoad(
                                        sibling, reported.inFlight(), reported.demand()),
                        () -> {});
        return new SiblingMesh(
                settings.siblingAddress(), "", loops, config, directory, hooks, time);
    }

    private MaintenanceService maintenance(TimeSource time) {
        FleetView fleet = new FleetView(this::isLive, load::activity, load::burstingPools);
        return new MaintenanceService(
                platform.table(),
                config,
                platform.workerControl(),
                fleet,
                load::workersNeeded,
                time);
    }

    /** The embedded platform lists no workers, so there each declared one counts as live. */
    private boolean isLive(WorkerId worker) {
        return settings.platformAddress().isEmpty()
                || directory.workerState(worker).filter(MemberState.LIVE::equals).isPresent();
    }

    private void countTasks() {
        boolean draining =
                config.snapshot().all(Kind.ASSIGNMENTS).values().stream()
                        .map(assignment -> ((AssignmentSpec) assignment.spec()).phase())
                        .anyMatch(WorkerPhase.DRAINING::equals);
        if (draining) {
            tasks.refresh();
        }
    }

    private DaemonMetrics metrics(WorkerChooser workers) {
        return new DaemonMetrics(
                new MetricSources(
                        () -> workers.inFlight().values().stream().mapToInt(n -> n).sum(),
                        () -> config.snapshot().revision().value(),
                        config::isValid,
                        () -> unitsByTeam(units::running),
                        () -> unitsByTeam(units::held)));
    }

    private CallerServer callers(TimeSource time) {
        return new CallerServer(
                settings.callerAddress(),
                loops,
                config,
                admission,
                intents,
                time,
                targets,
                callerLimits(settings),
                metrics,
                new JobRoutes(jobs.handlers(), siblings::wakeJobs));
    }

    private OperatorServer operators() {
        return new OperatorServer(
                settings.operatorAddress(),
                loops,
                settings.operatorToken().orElse(""),
                config,
                new OperatorHooks(() -> ready, metrics::text, Map::of, (kind, name) -> Map.of()));
    }

    private Map<TeamId, Integer> unitsByTeam(Function<TeamId, Integer> count) {
        return teams().stream().collect(Collectors.toMap(team -> team, count));
    }

    private List<TeamId> teams() {
        return config.snapshot().all(Kind.TEAMS).keySet().stream().map(TeamId::new).toList();
    }

    private Optional<WorkerId> workerAt(String address) {
        return config.snapshot().all(Kind.WORKERS).entrySet().stream()
                .filter(worker -> ((WorkerSpec) worker.getValue().spec()).address().equals(address))
                .map(worker -> new WorkerId(worker.getKey()))
                .findFirst();
    }

    private void collectIntents() {
        collector.cleanNextSlice(teams(), System.currentTimeMillis());
    }

    private void after(long delayMillis, Runnable action) {
        executor.schedule(() -> runGuarded(action), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void unitsArrived(TeamId team) {
        admission.onUnitsAvailable(team);
    }

    private void every(long periodMillis, Runnable task) {
        executor.scheduleWithFixedDelay(
                () -> runGuarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** An exception would end the periodic task. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "periodic task failed");
        }
    }

    private static CallerLimits callerLimits(Settings values) {
        CallerLimits defaults = CallerLimits.defaults();
        return new CallerLimits(
                values.maxConnections(),
                defaults.maxHeaderBytes(),
                defaults.headMillis(),
                defaults.idleMillis(),
                defaults.keptBodyBytes(),
                defaults.keyedBodyBytes(),
                defaults.bufferBudgetBytes(),
                Math.max(1, values.balancerDelayMillis()),
                Math.max(1, values.drainBoundMillis()));
    }

    private static <T> T await(String what, CompletionStage<T> stage, long timeoutMillis) {
        try {
            return stage.toCompletableFuture().get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("{}: {}", what, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }
}
