package org.quetzalscale.standin.experiment.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.job.JobSpec;

/**
 * Jobs of six teams that burst in turn: about five times their mean for some seconds, a twentieth
 * of it between. Declared sizes and run times are wrong by factors of up to four.
 */
record Workload(List<Arrival> arrivals) {
    /** Weights of the teams; a few are large. */
    static final double[] WEIGHTS = {4, 3, 1, 1, 1, 1};

    /** Most slots that a team may use: three quarters of the fleet. */
    static final int UPPER_LIMIT = 240;

    private static final double BURST_FACTOR = 5;
    private static final double REST_FACTOR = 0.05;
    private static final long BURST_MILLIS = 12_000;
    private static final long STEP_MILLIS = 100;

    private static final double URGENT_PART = 0.05;
    private static final int MIN_RUN_MILLIS = 2_000;
    private static final int MEAN_EXTRA_RUN_MILLIS = 22_000;
    private static final int MAX_RUN_MILLIS = 180_000;
    private static final int URGENT_RUN_MILLIS = 2_000;

    /** One job and the time of its submission. */
    record Arrival(long atMillis, JobId id, JobSpec spec) {}

    static TeamId team(int index) {
        return new TeamId("team-" + (char) ('a' + index));
    }

    /**
     * The jobs that arrive in this time, in order, the same for the same seed.
     *
     * @param jobsPerSecond mean of a team of weight 1 over a whole turn of bursts
     */
    static Workload of(long seed, long durationMillis, double jobsPerSecond) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        for (long now = 0; now < durationMillis; now += STEP_MILLIS) {
            int bursting = (int) (now / BURST_MILLIS % WEIGHTS.length);
            for (int i = 0; i < WEIGHTS.length; i++) {
                double factor = i == bursting ? BURST_FACTOR : REST_FACTOR;
                double expected = jobsPerSecond * WEIGHTS[i] * factor * STEP_MILLIS / 1_000.0;
                for (int n = poisson(random, expected); n > 0; n--) {
                    JobId id = new JobId("job-" + arrivals.size());
                    arrivals.add(new Arrival(now, id, spec(random, team(i))));
                }
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
        return new Workload(arrivals);
    }

    private static JobSpec spec(Random random, TeamId team) {
        boolean urgent = random.nextDouble() < URGENT_PART;
        long run =
                urgent
                        ? URGENT_RUN_MILLIS
                        : Math.min(
                                MAX_RUN_MILLIS,
                                MIN_RUN_MILLIS
                                        + (long)
                                                (-Math.log(1 - random.nextDouble())
                                                        * MEAN_EXTRA_RUN_MILLIS));
        int cores = 1 + random.nextInt(12);
        int memory = 1_024 * (1 + random.nextInt(24));
        String command = "run " + run + "ms cores " + cores + " mem " + memory;
        return new JobSpec(
                team,
                "",
                command,
                (int) Math.max(1, cores * wrong(random)),
                (int) Math.max(256, memory * wrong(random)),
                0,
                1 + random.nextInt(2),
                (long) Math.max(1, run * wrong(random)),
                urgent,
                0,
                0,
                3);
    }

    /** A factor from a quarter to four. */
    private static double wrong(Random random) {
        return Math.pow(4, 2 * random.nextDouble() - 1);
    }

    private static int poisson(Random random, double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; count++) {
            product *= random.nextDouble();
        }
        return count;
    }
}
