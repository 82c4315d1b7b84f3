package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.PoolId;

/** Derives the needs of pools from their known work, for demand that nothing is known of. */
final class ReactiveNeeds implements NeedRule {
    /**
     * Fraction of an equal share of all instances that each pool keeps for the start of a burst.
     */
    private static final double MIN_SHARE = 0.6;

    private final FleetScheduler scheduler;
    private final PoolDemand demand;

    ReactiveNeeds(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.demand = new PoolDemand(scheduler.fleet(), scheduler.estimator());
    }

    @Override
    public PoolTargets.Need need(
            PoolId pool, int instanceCount, double equalShare, long nowMillis) {
        PoolDemand.Cores cores = cores(pool);
        double minimum = Math.max(Math.floor(MIN_SHARE * equalShare), minimum(pool, cores));
        return new PoolTargets.Need(minimum, Math.max(minimum, cores.sum() / coresPerWorker()));
    }

    PoolDemand.Cores cores(PoolId pool) {
        return demand.requiredCores(pool, scheduler.epochMillis());
    }

    /** The instances that run lasting tasks, and at least one for a pool with work. */
    double minimum(PoolId pool, PoolDemand.Cores cores) {
        long lastingWorkers =
                scheduler.fleet().workersOf(pool).stream()
                        .filter(WorkerUse::countsInPool)
                        .filter(WorkerState::hasLastingTasks)
                        .count();
        return Math.max(lastingWorkers, cores.sum() > 0 ? 1 : 0);
    }

    double coresPerWorker() {
        return scheduler.fleet().workers.values().stream()
                .mapToDouble(worker -> worker.entry.capacity().cores())
                .filter(cores -> cores > 0)
                .average()
                .orElse(1);
    }
}
