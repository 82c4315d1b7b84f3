package org.quetzalscale.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.task.JobDefinition;

final class PoolForecastTest extends SchedulerFixture {
    private static final long PERIOD_MILLIS = 8_000;
    private static final long BURST_MILLIS = 2_000;

    private final PoolForecast forecast = new PoolForecast(scheduler);

    PoolForecastTest() {
        super(Samples.policy(NO_CAP));
    }

    private record Accepted(JobDefinition job, long millis) {}

    /** Ten jobs a second in the first quarter of each period, but not in the skipped one. */
    private static List<Accepted> bursts(long toMillis, int skipped) {
        List<Accepted> accepted = new ArrayList<>();
        for (long at = 0; at < toMillis; at += 100) {
            if (at % PERIOD_MILLIS < BURST_MILLIS && at / PERIOD_MILLIS != skipped) {
                int number = accepted.size() + 1;
                accepted.add(new Accepted(Samples.job(number, Samples.step(8, 2)), at));
            }
        }
        return accepted;
    }

    private PoolForecast.Expectation expectation(PoolForecast of, long at) {
        of.update(at);
        return of.expectation(Samples.POOL, at, 2_000, 5_000);
    }

    private void replay(List<Accepted> jobs) {
        for (Accepted job : jobs) {
            scheduler.fleet().arrivals.add(job.job(), job.millis());
            forecast.update(job.millis());
        }
    }

    /** Guards against moves that begin with the burst, and against a forecast without evidence. */
    @Test
    void expectsABurstOneMoveTimeBefore() {
        replay(bursts(18_000, -1));
        assertThat(expectation(forecast, 18_000).trusted()).isFalse();
        replay(bursts(26_000, -1).stream().filter(job -> job.millis() >= 18_000).toList());

        assertThat(expectation(forecast, 28_000).soon()).isZero();
        // Ten jobs a second of 8 tasks, 2 cores and 0.5 s each.
        assertThat(expectation(forecast, 30_500).soon()).isBetween(70.0, 90.0);
    }

    /** Guards against a second burst that is awaited after one has not come. */
    @Test
    void isNotTrustedAfterAMiss() {
        replay(bursts(34_000, 4));
        PoolForecast.Expectation missed = expectation(forecast, 34_500);

        assertThat(missed.trusted()).isFalse();
        assertThat(missed.misses()).isEqualTo(1);
    }

    /**
     * Guards against a new owner without a forecast: it reads the accepted jobs in any order, and
     * those that have ended after it began to plan.
     */
    @Test
    void isTheSameForANewOwner() {
        List<Accepted> jobs = bursts(30_000, -1);
        replay(jobs);
        FleetScheduler later = new FleetScheduler(Samples.policy(NO_CAP), orders, 0);
        PoolForecast rebuilt = new PoolForecast(later);
        Collections.shuffle(jobs, new Random(1));
        for (Accepted job : jobs.subList(0, 20)) {
            later.fleet().arrivals.add(job.job(), job.millis());
        }
        rebuilt.update(30_500);
        jobs.subList(20, jobs.size()).forEach(job -> later.addEndedJob(job.job(), job.millis()));

        assertThat(expectation(rebuilt, 30_500)).isEqualTo(expectation(forecast, 30_500));
        assertThat(expectation(rebuilt, 30_500).trusted()).isTrue();
    }
}
