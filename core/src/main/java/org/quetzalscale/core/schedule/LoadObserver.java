package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Computes the load of the fleet at its owner, so that other instances can refuse what would wait
 * in vain. Answers the load of more jobs than the fleet can serve, for every organisation alike.
 */
public final class LoadObserver {
    /** Shorter times between two figures do not tell how a backlog changes. */
    private static final long MIN_INTERVAL_MILLIS = 400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final FleetScheduler scheduler;
    private final FleetState fleet;
    private final Map<PoolId, Backlog> backlogs = new HashMap<>();

    /** Creates an observer that reads the scheduler's current state on each call. */
    public LoadObserver(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.fleet = scheduler.fleet();
    }

    /** A backlog at a time, and how fast it shrank until then. */
    private record Backlog(double coreSeconds, long millis, double shrinkPerSecond) {}

    /** Sums over the waiting tasks of a pool. */
    private static final class Waiting {
        private final TreeMap<Integer, Double> within = new TreeMap<>();
        private double excess;
        private double startableCores;
    }

    /**
     * Returns the figures of now; empty if no organisation declares a rate, or if nothing waits and
     * every organisation is within its rate.
     */
    public Optional<LoadFigures> observe(long nowMillis, long epochMillis) {
        FleetPolicy policy = scheduler.policy();
        if (policy.organisations().values().stream().noneMatch(known -> known.rate() > 0)) {
            return Optional.empty();
        }
        Map<PoolId, LoadFigures.PoolLoad> pools = new HashMap<>();
        for (PoolId pool : fleet.activePools()) {
            LoadFigures.PoolLoad load = poolLoad(pool, policy, nowMillis, epochMillis);
            if (load.totalCoreSeconds() > 0) {
                pools.put(pool, load);
            }
        }
        Map<OrganisationId, Double> tokens = new HashMap<>();
        for (OrganisationId id : policy.organisations().keySet()) {
            scheduler
                    .excess()
                    .tokensAt(id, epochMillis)
                    .ifPresent(available -> tokens.put(id, available));
        }
        return pools.isEmpty()
                ? Optional.empty()
                : Optional.of(new LoadFigures(epochMillis, pools, tokens));
    }

    private LoadFigures.PoolLoad poolLoad(
            PoolId pool, FleetPolicy policy, long nowMillis, long epochMillis) {
        Waiting waiting = new Waiting();
        for (JobRun job : fleet.activeJobs(pool)) {
            for (StepRun step : job.stepsDueBy(epochMillis)) {
                addWaiting(job, step, policy, waiting);
            }
        }
        double total = waiting.excess + waiting.within.values().stream().mapToDouble(x -> x).sum();
        return new LoadFigures.PoolLoad(
                waiting.within,
                waiting.excess,
                completedPerSecond(pool),
                shrinkPerSecond(pool, total, nowMillis),
                Math.max(0, freeCores(pool, nowMillis) - waiting.startableCores));
    }

    private void addWaiting(JobRun job, StepRun step, FleetPolicy policy, Waiting waiting) {
        StepDefinition definition = step.definition;
        if (step.isDone() || definition.filler() || definition.lasting()) {
            return;
        }
        double cores = 0;
        for (TrackedTask task : step.tasks) {
            cores += task.state == TrackedTask.State.WAITING ? definition.need().cores() : 0;
        }
        double millis = scheduler.estimator().estimateMillis(job.definition.queue(), definition);
        double coreSeconds = cores * millis / MILLIS_PER_SECOND;
        if (coreSeconds > 0 && scheduler.excess().isExcess(job.definition.id())) {
            waiting.excess += coreSeconds;
        } else if (coreSeconds > 0) {
            int priority = policy.queueOf(job.definition).priority();
            waiting.within.merge(priority, coreSeconds, Double::sum);
        }
        if (competesForAnyWorker(job, step, policy)) {
            waiting.startableCores += cores;
        }
    }

    /** Whether only the capacity of the pool keeps the step from starting. */
    private boolean competesForAnyWorker(JobRun job, StepRun step, FleetPolicy policy) {
        return !job.held
                && !job.progressUnreadable
                && step.definition.requiredLabel().isEmpty()
                && job.isReady(step)
                && fleet.usage.permits(policy, job.definition, step.definition.need());
    }

    /**
     * Core seconds that the pool completes per second: the processors of its tasks that end. A
     * processor in use completes one core second of run time per second, and run times are what the
     * estimates of the backlog follow.
     */
    private double completedPerSecond(PoolId pool) {
        double cores = 0;
        for (WorkerState worker : fleet.workersOf(pool)) {
            for (TrackedTask task : worker.tasks.values()) {
                StepDefinition step = task.step.definition;
                cores += step.lasting() ? 0 : step.reserved().cores();
            }
        }
        return cores;
    }

    private double freeCores(PoolId pool, long nowMillis) {
        double cores = 0;
        for (WorkerState worker : fleet.workersOf(pool)) {
            if (WorkerUse.acceptsNewTasks(worker, nowMillis)) {
                cores += Math.max(0, worker.entry.capacity().cores() - worker.used.cores());
            }
        }
        return cores;
    }

    private double shrinkPerSecond(PoolId pool, double coreSeconds, long nowMillis) {
        Backlog before = backlogs.get(pool);
        if (before == null) {
            backlogs.put(pool, new Backlog(coreSeconds, nowMillis, 0));
            return 0;
        }
        double seconds = (nowMillis - before.millis()) / MILLIS_PER_SECOND;
        if (nowMillis - before.millis() < MIN_INTERVAL_MILLIS) {
            return before.shrinkPerSecond();
        }
        double shrink = (before.coreSeconds() - coreSeconds) / seconds;
        backlogs.put(pool, new Backlog(coreSeconds, nowMillis, shrink));
        return shrink;
    }
}
