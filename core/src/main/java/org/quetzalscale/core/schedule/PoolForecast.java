package org.quetzalscale.core.schedule;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * Forecasts the processors that pools need, for demand that rotates over the pools with a period
 * that nobody states.
 */
final class PoolForecast {
    /**
     * Least time between two times that all bins are judged again, while a new owner reads ended
     * jobs: on a weak instance that takes as long as several plans.
     */
    private static final long RELEARN_INTERVAL_MILLIS = 2_000;

    private final FleetScheduler scheduler;
    private final Map<QueueId, QueueForecast> forecasts = new LinkedHashMap<>();
    private long judgedBin = Long.MIN_VALUE;
    private int revision;
    private long nextRelearnMillis = Long.MIN_VALUE;

    PoolForecast(FleetScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Learns from the bins that have ended since the last call. */
    void update(long nowMillis) {
        Map<QueueId, WorkSeries> series = scheduler.fleet().arrivals.queues();
        long currentBin = WorkSeries.binOf(nowMillis);
        series.values().forEach(queue -> queue.advance(currentBin));
        long first = series.values().stream().mapToLong(WorkSeries::oldestBin).min().orElse(0);
        int changes = series.values().stream().mapToInt(WorkSeries::revision).sum();
        if (changes != revision && nowMillis >= nextRelearnMillis) {
            nextRelearnMillis = nowMillis + RELEARN_INTERVAL_MILLIS;
            revision = changes;
            forecasts.clear();
            judgedBin = Long.MIN_VALUE;
        }
        if (series.isEmpty()) {
            return;
        }
        series.forEach(
                (queue, work) ->
                        forecasts.computeIfAbsent(queue, id -> new QueueForecast(work, first)));
        for (long bin = Math.max(first, judgedBin + 1); bin < currentBin; bin++) {
            judge(bin);
        }
        series.values().forEach(queue -> queue.markRead(currentBin - 1));
    }

    private void judge(long bin) {
        judgedBin = bin;
        Map<QueueId, double[]> correlations = new LinkedHashMap<>();
        forecasts.forEach((queue, forecast) -> correlations.put(queue, forecast.correlations(bin)));
        int shared = PeriodEstimator.period(means(correlations.values().toArray(double[][]::new)));
        forecasts.forEach(
                (queue, forecast) -> forecast.judge(bin, correlations.get(queue), shared));
    }

    /** The mean correlation of the queues at each lag that at least two of them know. */
    private static double[] means(double[][] correlations) {
        double[] means = new double[PeriodEstimator.MAX_LAG + 1];
        for (int lag = 0; lag < means.length; lag++) {
            int column = lag;
            double[] known =
                    Arrays.stream(correlations)
                            .mapToDouble(queue -> queue[column])
                            .filter(value -> !Double.isNaN(value))
                            .toArray();
            means[lag] = known.length < 2 ? Double.NaN : Arrays.stream(known).average().orElse(0);
        }
        return means;
    }

    /** What is expected of a pool. */
    record Expectation(
            boolean trusted,
            double confidence,
            long periodMillis,
            int misses,
            double soon,
            double later) {
        static final Expectation NONE = new Expectation(false, 0, 0, 0, 0, 0);
    }

    /**
     * Returns the processors that the pool is expected to need; not trusted unless all its queues
     * with work are.
     *
     * @param soonMillis length of the interval of {@link Expectation#soon}
     * @param laterMillis length of the interval of {@link Expectation#later}
     */
    Expectation expectation(PoolId pool, long nowMillis, long soonMillis, long laterMillis) {
        Expectation sum = Expectation.NONE;
        boolean first = true;
        for (Map.Entry<QueueId, QueueForecast> entry : forecasts.entrySet()) {
            QueuePolicy queue = scheduler.policy().queues().get(entry.getKey());
            if (queue == null || !queue.pool().equals(pool)) {
                continue;
            }
            Expectation own = expectation(entry.getKey(), nowMillis, soonMillis, laterMillis);
            sum = first ? own : sum(sum, own);
            first = false;
        }
        return sum;
    }

    private Expectation expectation(QueueId id, long nowMillis, long soonMillis, long laterMillis) {
        QueueForecast queue = forecasts.get(id);
        long bin = WorkSeries.binOf(nowMillis);
        double scale = scale(id);
        return new Expectation(
                queue.trusted(),
                queue.confidence(),
                queue.periodMillis(),
                queue.misses(),
                scale * queue.peakRate(bin, WorkSeries.binOf(nowMillis + soonMillis)),
                scale * queue.peakRate(bin, WorkSeries.binOf(nowMillis + laterMillis)));
    }

    private static Expectation sum(Expectation a, Expectation b) {
        return new Expectation(
                a.trusted && b.trusted,
                Math.min(a.confidence, b.confidence),
                Math.max(a.periodMillis, b.periodMillis),
                a.misses + b.misses,
                a.soon + b.soon,
                a.later + b.later);
    }

    /** The factor from submitters' estimates of a queue to measured run times. */
    private double scale(QueueId id) {
        WorkSeries series = scheduler.fleet().arrivals.queues().get(id);
        double estimated = series.totalCoreSeconds();
        double corrected =
                scheduler.estimator().coreSeconds(id, estimated, series.totalTaskCores());
        return estimated > 0 ? corrected / estimated : 1;
    }
}
