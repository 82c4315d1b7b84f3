package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.PoolId;

/**
 * Derives the needs of pools from the forecast of their arrivals where it is trusted, and else from
 * their known work, for bursts that are over before a move that begins with them has ended.
 */
final class ForecastNeeds implements NeedRule {
    /** Duration of a move. */
    private static final long MOVE_MILLIS = 1_500;

    /** Time from the decision on a move to the first task, apart from the move itself. */
    private static final long LEAD_MARGIN_MILLIS = 500;

    /**
     * Surplus that is needed again within this time stays. A move there and back costs as much as
     * an instance in two seconds, and the time in which it leaves.
     */
    private static final long KEEP_MILLIS = 3_000;

    /**
     * Share of the highest expected load for which instances are held: jobs may wait for part of
     * their latency objective, and more of them cost more than the late jobs that they prevent.
     */
    private static final double LOAD_SHARE = 0.85;

    private final FleetScheduler scheduler;
    private final ReactiveNeeds reactive;
    private final PoolForecast forecast;

    ForecastNeeds(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.reactive = new ReactiveNeeds(scheduler);
        this.forecast = new PoolForecast(scheduler);
    }

    @Override
    public void update(long nowMillis) {
        forecast.update(nowMillis);
    }

    @Override
    public PoolTargets.Need need(
            PoolId pool, int instanceCount, double equalShare, long nowMillis) {
        PoolForecast.Expectation expectation = expectation(pool, nowMillis);
        if (!expectation.trusted()) {
            return reactive.need(pool, instanceCount, equalShare, nowMillis);
        }
        PoolDemand.Cores cores = reactive.cores(pool);
        double coresPerWorker = reactive.coresPerWorker();
        double minimum = reactive.minimum(pool, cores);
        double soon = (cores.lasting() + LOAD_SHARE * expectation.soon()) / coresPerWorker;
        double later = (cores.lasting() + LOAD_SHARE * expectation.later()) / coresPerWorker;
        return new PoolTargets.Need(
                minimum,
                Math.max(minimum, cores.sum() / coresPerWorker),
                Math.max(soon, Math.min(instanceCount, later)));
    }

    @Override
    public PoolForecast.Expectation expectation(PoolId pool, long nowMillis) {
        long soon = MOVE_MILLIS + LEAD_MARGIN_MILLIS;
        return forecast.expectation(pool, nowMillis, soon, soon + KEEP_MILLIS);
    }
}
