package org.quetzalscale.standin.experiment.maintenance;

import java.util.Random;

/**
 * Load that bursts in turn: each pool gets five times its mean during a burst and a twentieth of it
 * between bursts. The mean is a quarter of the pool's workers, so a burst needs 1.25 times the
 * pool.
 */
final class BurstLoad {
    private static final double BURST_FACTOR = 5;
    private static final double QUIET_FACTOR = 0.05;
    private static final double BURST_SHARE = (1 - QUIET_FACTOR) / (BURST_FACTOR - QUIET_FACTOR);
    private static final double MEAN_SHARE = 0.25;

    private final double[] mean;
    private final double[] phaseSeconds;
    private final double cycleSeconds;
    private final double burstSeconds;

    BurstLoad(FleetShape shape, double burstSeconds, Random random) {
        this.burstSeconds = burstSeconds;
        cycleSeconds = burstSeconds / BURST_SHARE;
        int pools = shape.sizes().size();
        mean = new double[pools];
        phaseSeconds = new double[pools];
        for (int i = 0; i < pools; i++) {
            mean[i] = shape.sizes().get(i) * MEAN_SHARE;
            phaseSeconds[i] = cycleSeconds * (i + 0.5 * random.nextDouble()) / pools;
        }
    }

    /** Workers that the arrivals of a pool keep busy at a time. */
    double workers(int pool, long second) {
        double position = (second + phaseSeconds[pool]) % cycleSeconds;
        return mean[pool] * (position < burstSeconds ? BURST_FACTOR : QUIET_FACTOR);
    }
}
