package org.quetzalscale.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.queue.FairAdmission;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.caller.CallerLimits;
import org.quetzalscale.daemon.caller.CallerServer;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.job.JobService;
import org.quetzalscale.daemon.operator.OperatorHooks;
import org.quetzalscale.daemon.operator.OperatorServer;
import org.quetzalscale.daemon.platform.DirectoryWatch;
import org.quetzalscale.daemon.platform.Platform;
import org.quetzalscale.daemon.settings.Settings;
import org.quetzalscale.daemon.target.TargetClient;
import org.quetzalscale.daemon.target.TargetLimits;
import org.quetzalscale.net.EventLoops;
import org.tinylog.Logger;

/** One entry instance: all services of the process, started and stopped in order. */
public final class Daemon {
    private static final long ADMISSION_TICK_MILLIS = 20;
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
    private final FairAdmission admission;
    private final TargetClient targets;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final JobService jobs;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean ready;

    /** Creates all services; none listens yet. */
    public Daemon(Settings settings) {
        TimeSource time = TimeSource.system();
        this.settings = settings;
        loops = EventLoops.create(settings.eventLoopThreads(), "io");
        platform = platform(settings, time);
        directory = new DirectoryWatch(platform.directory(), executor);
        config =
                new ConfigService(
                        settings.instanceId(), platform.table(), platform.objects(), time);
        directory.addEntryListener(config::list);
        WorkerChooser workers = new WorkerChooser(config, directory::isLeaving, new Random(), time);
        admission = new FairAdmission(config, new UnenforcedUnits(), workers, time);
        targets = new TargetClient(time, TargetLimits.defaults(), address -> {});
        callers =
                new CallerServer(
                        settings.callerAddress(),
                        loops,
                        config,
                        admission,
                        new UnavailableIntentLog(),
                        time,
                        targets,
                        callerLimits(settings));
        operators =
                new OperatorServer(
                        settings.operatorAddress(),
                        loops,
                        settings.operatorToken().orElse(""),
                        config,
                        new OperatorHooks(
                                () -> ready,
                                () -> "",
                                java.util.Map::of,
                                (kind, name) -> java.util.Map.of()));
        jobs = new JobService(platform.table(), platform.tasks(), config, settings.instanceId());
    }

    /** Starts all services; fails if a port can't be bound. */
    public void start() {
        platform.start();
        directory.start();
        config.start();
        executor.scheduleWithFixedDelay(
                admission::tick,
                ADMISSION_TICK_MILLIS,
                ADMISSION_TICK_MILLIS,
                TimeUnit.MILLISECONDS);
        jobs.start();
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
        jobs.stop();
        operators.stop();
        config.stop();
        directory.stop();
        targets.stop();
        await("closing the platform", platform.stop(), PLATFORM_TIMEOUT_MILLIS);
        executor.shutdownNow();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        Logger.info("instance {} stopped", settings.instanceId());
        stopped.countDown();
    }

    private Platform platform(Settings values, TimeSource time) {
        String address =
                values.siblingAddress().getHostString() + ":" + values.siblingAddress().getPort();
        Member self =
                new Member(
                        values.instanceId().value(),
                        MemberRole.ENTRY,
                        values.zone(),
                        address,
                        MemberState.LIVE);
        return values.platformAddress()
                .map(remote -> Platform.connect(remote, loops, self))
                .orElseGet(() -> Platform.embedded(loops, self, time));
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
