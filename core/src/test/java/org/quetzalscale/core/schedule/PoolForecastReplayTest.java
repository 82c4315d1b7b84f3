package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.schedule.PoolReplay.Arrival;
import org.quetzalscale.core.schedule.PoolReplay.Result;
import org.quetzalscale.core.schedule.PoolReplay.Shape;

/**
 * Compares the balancer with one that knows no forecast and no least stay, and with one that knows
 * no forecast, on the same arrivals, and prints all of them beside the bound.
 */
final class PoolForecastReplayTest {
    private static final long END_MILLIS = 60_000;
    private static final long PERIOD_MILLIS = 8_000;
    private static final int SEEDS = 3;

    /** Bursts of five times the mean for a fifth of the period, a quarter of it apart. */
    private static double rotating(int pool, long millis, long period) {
        return Math.floorMod(millis - pool * period / 4, period) < period / 5 ? 5 : 0.05;
    }

    private static Result replay(Shape shape, Function<FleetScheduler, PoolBalancer> rule) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(
                        seed -> {
                            List<Arrival> arrivals = PoolReplay.arrivals(shape, END_MILLIS, seed);
                            return PoolReplay.run(arrivals, END_MILLIS, rule);
                        })
                .reduce(Result::sum)
                .orElseThrow();
    }

    private static String bound(Shape shape) {
        double work = 0;
        double held = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            PoolBound bound =
                    new PoolBound(PoolReplay.arrivals(shape, END_MILLIS, seed), END_MILLIS);
            work += bound.workSeconds();
            held += bound.heldSeconds();
        }
        return String.format("work %6.0f  held with moves %6.0f", work, held);
    }

    /** Fewer jobs are late, at a lower cost together with the instances held and the moves. */
    private static void assertServesMoreOnTime(String name, Shape shape) {
        Comparison results = compare(name, shape);
        assertThat(results.forecast.onTime()).isGreaterThan(results.today.onTime());
        assertThat(results.forecast.onTime()).isGreaterThanOrEqualTo(results.reactive.onTime());
        assertThat(results.forecast.cost()).isLessThan(results.today.cost());
        assertThat(results.forecast.undone()).isLessThan(results.today.undone());
    }

    private static void assertServesAsManyOnTime(String name, Shape shape) {
        Comparison results = compare(name, shape);
        assertThat(results.forecast.onTime()).isGreaterThanOrEqualTo(results.today.onTime());
        assertThat(results.forecast.cost()).isLessThanOrEqualTo(results.today.cost());
    }

    private record Comparison(Result today, Result reactive, Result forecast) {}

    private static Comparison compare(String name, Shape shape) {
        Result today = replay(shape, fleet -> reactive(fleet, 0));
        Result reactive = replay(shape, fleet -> reactive(fleet, PoolBalancer.MIN_STAY_MILLIS));
        Result forecast = replay(shape, PoolBalancer::new);
        System.out.printf("%-14s bound     %s%n", name, bound(shape));
        System.out.printf("%-14s today     %s%n", name, today);
        System.out.printf("%-14s stay only %s%n", name, reactive);
        System.out.printf("%-14s forecast  %s%n", name, forecast);
        return new Comparison(today, reactive, forecast);
    }

    private static PoolBalancer reactive(FleetScheduler fleet, long minStayMillis) {
        return new PoolBalancer(fleet, new ReactiveNeeds(fleet), minStayMillis);
    }

    /** Guards against bursts that find their pool without instances although they are periodic. */
    @Test
    void steadyPeriod() {
        assertServesMoreOnTime("steady", (pool, millis) -> rotating(pool, millis, PERIOD_MILLIS));
    }

    /** Guards against forecasts made of bursts that come at random. */
    @Test
    void noPeriod() {
        long[][] starts = new long[PoolReplay.POOLS][12];
        Random random = new Random(7);
        for (long[] pool : starts) {
            long at = 0;
            for (int burst = 0; burst < pool.length; burst++) {
                at += 2_000 + (long) (-6_000 * Math.log(1 - random.nextDouble()));
                pool[burst] = at;
            }
        }
        assertServesAsManyOnTime(
                "no period",
                (pool, millis) ->
                        Arrays.stream(starts[pool])
                                        .anyMatch(at -> at <= millis && millis < at + 1_600)
                                ? 5
                                : 0.05);
    }

    /** Guards against a forecast that is still followed after the period has changed. */
    @Test
    void changedPeriod() {
        assertServesMoreOnTime(
                "changed",
                (pool, millis) ->
                        millis < 30_000
                                ? rotating(pool, millis, PERIOD_MILLIS)
                                : rotating(pool, millis - 30_000, 6_000));
    }

    /** Guards against instances that wait in vain for a burst that does not come. */
    @Test
    void missingBurst() {
        assertServesMoreOnTime(
                "missing burst",
                (pool, millis) ->
                        pool == 1 && millis > 33_000 && millis < 37_000
                                ? 0.05
                                : rotating(pool, millis, PERIOD_MILLIS));
    }

    /** Guards against a bound that a rule can beat, and prints it by pool and second. */
    @Test
    void boundByPoolAndSecond() {
        Shape shape = (pool, millis) -> rotating(pool, millis, PERIOD_MILLIS);
        List<Arrival> arrivals = PoolReplay.arrivals(shape, END_MILLIS, 1);
        PoolBound bound = new PoolBound(arrivals, END_MILLIS);
        List<long[]> today =
                PoolReplay.heldBySecond(arrivals, END_MILLIS, fleet -> reactive(fleet, 0));
        List<long[]> forecast = PoolReplay.heldBySecond(arrivals, END_MILLIS, PoolBalancer::new);
        double least = 0;
        long held = 0;
        for (int second = 0; second < today.size(); second++) {
            StringBuilder line = new StringBuilder(String.format("%3d s", second));
            for (int pool = 0; pool < PoolReplay.POOLS; pool++) {
                double needed = bound.instances(pool, second);
                least += needed;
                held += forecast.get(second)[pool];
                line.append(
                        String.format(
                                "  | bound %5.1f today %3d forecast %3d",
                                needed, today.get(second)[pool], forecast.get(second)[pool]));
            }
            System.out.println(line);
        }
        assertThat(least).isLessThan(bound.heldSeconds());
        assertThat(bound.heldSeconds()).isLessThan(held);
    }
}
