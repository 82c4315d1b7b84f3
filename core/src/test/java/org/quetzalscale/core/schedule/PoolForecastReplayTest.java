package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.schedule.PoolReplay.Arrival;
import org.quetzalscale.core.schedule.PoolReplay.Result;
import org.quetzalscale.core.schedule.PoolReplay.Shape;

/** Compares the forecast with the reactive rule alone on the same arrivals, and prints both. */
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

    private static void assertServesMoreOnTime(String name, Shape shape) {
        Result reactive =
                replay(
                        shape,
                        scheduler -> new PoolBalancer(scheduler, new ReactiveNeeds(scheduler)));
        Result forecast = replay(shape, PoolBalancer::new);
        System.out.printf("%-16s reactive %s%n%-16s forecast %s%n", name, reactive, "", forecast);

        assertThat(forecast.onTime()).as(name).isGreaterThanOrEqualTo(reactive.onTime());
        assertThat(forecast.cost()).as(name).isLessThanOrEqualTo(reactive.cost());
    }

    /** Guards against bursts that find their pool without instances although they are periodic. */
    @Test
    void steadyPeriod() {
        assertServesMoreOnTime("steady", (pool, millis) -> rotating(pool, millis, PERIOD_MILLIS));
    }
}
