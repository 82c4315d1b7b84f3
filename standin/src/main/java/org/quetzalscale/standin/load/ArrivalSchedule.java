package org.quetzalscale.standin.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Draws the arrivals of a run; they do not depend on how requests go. */
final class ArrivalSchedule {
    private static final String GENERATOR = "L64X128MixRandom";
    private static final double MAX_SERVICE_FACTOR = 10;
    private static final double MICROS_PER_SECOND = 1e6;

    private final LoadOptions options;
    private final BurstPattern pattern;
    private final double[] cumulativeTeamShares;

    ArrivalSchedule(LoadOptions options) {
        this.options = options;
        this.pattern =
                new BurstPattern(
                        options.queues().size(), options.meanRate(), options.burstMillis());
        this.cumulativeTeamShares = cumulativeShares(options.teams().size());
    }

    /** All arrivals in order of time, at most as many as the options permit. */
    List<Arrival> draw() {
        List<Arrival> arrivals = new ArrayList<>();
        for (int queue = 0; queue < options.queues().size(); queue++) {
            drawQueue(queue, arrivals);
        }
        Collections.sort(arrivals);
        return arrivals.subList(0, Math.min(arrivals.size(), options.maxRequests()));
    }

    /** A Poisson process whose rate is constant between the changes of the burst pattern. */
    private void drawQueue(int queue, List<Arrival> arrivals) {
        RandomGenerator random =
                RandomGeneratorFactory.of(GENERATOR).create(options.seed() * 1_000_003L + queue);
        long endMicros = options.durationMillis() * 1000;
        long atMicros = 0;
        int drawn = 0;
        while (atMicros < endMicros && drawn < options.maxRequests()) {
            double gapMicros =
                    random.nextExponential() * MICROS_PER_SECOND / pattern.rate(queue, atMicros);
            long changeMicros = pattern.nextChangeMicros(queue, atMicros);
            if (gapMicros > changeMicros - atMicros) {
                // The exponential distribution has no memory, so the draw may start afresh.
                atMicros = changeMicros;
                continue;
            }
            atMicros += (long) gapMicros;
            if (atMicros < endMicros) {
                arrivals.add(arrival(random, queue, atMicros));
                drawn++;
            }
        }
    }

    private Arrival arrival(RandomGenerator random, int queue, long atMicros) {
        double service =
                options.serviceMillis() * Math.min(MAX_SERVICE_FACTOR, random.nextExponential());
        boolean post = random.nextDouble() < options.postShare();
        boolean keyed = random.nextDouble() < options.keyedShare();
        return new Arrival(
                atMicros,
                queue,
                team(random.nextDouble()),
                Math.round(service),
                post,
                post && keyed);
    }

    private int team(double drawn) {
        for (int team = 0; team < cumulativeTeamShares.length; team++) {
            if (drawn < cumulativeTeamShares[team]) {
                return team;
            }
        }
        return cumulativeTeamShares.length - 1;
    }

    /** A few teams are large: the n-th sends in proportion to 1/n. */
    private static double[] cumulativeShares(int teams) {
        double[] cumulative = new double[teams];
        double sum = 0;
        for (int team = 0; team < teams; team++) {
            sum += 1.0 / (team + 1);
            cumulative[team] = sum;
        }
        for (int team = 0; team < teams; team++) {
            cumulative[team] /= sum;
        }
        return cumulative;
    }
}
