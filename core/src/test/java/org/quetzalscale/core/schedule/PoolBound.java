package org.quetzalscale.core.schedule;

import java.util.List;

/**
 * The instance-seconds that an owner needs that knows all arrivals beforehand and starts each task
 * at once. Moves are counted as one instance-second each; lasting tasks are left out.
 */
final class PoolBound {
    private static final int BIN_MILLIS = 50;
    private static final int BINS_PER_SECOND = 1_000 / BIN_MILLIS;

    /** A gap shorter than the price of the two moves around it is bridged. */
    private static final int BRIDGED_BINS = 2 * BINS_PER_SECOND;

    /** Instances by pool and bin that hold all running tasks. */
    private final double[][] running;

    private final int seconds;
    private double packedSeconds;

    PoolBound(List<PoolReplay.Arrival> arrivals, long millis) {
        seconds = (int) (millis / 1_000);
        running = new double[PoolReplay.POOLS][seconds * BINS_PER_SECOND];
        arrivals.forEach(this::add);
    }

    private void add(PoolReplay.Arrival arrival) {
        double cores = arrival.job().steps().get(0).need().cores();
        double tasksPerInstance = Math.floor(PoolReplay.WORKER_CORES / cores);
        double instances = arrival.job().steps().get(0).count() / tasksPerInstance;
        int from = (int) (arrival.millis() / BIN_MILLIS);
        long runMillis = arrival.job().steps().size() * arrival.runMillis();
        int to = (int) ((arrival.millis() + runMillis) / BIN_MILLIS);
        for (int bin = from; bin < Math.min(to, running[0].length); bin++) {
            running[arrival.pool()][bin] += instances;
            packedSeconds += instances / BINS_PER_SECOND;
        }
    }

    /** The work alone, in seconds of full instances: nobody can hold fewer. */
    double workSeconds() {
        return packedSeconds;
    }

    /** The instance-seconds held, with the moves, of instances that stay during short gaps. */
    double heldSeconds() {
        double held = 0;
        for (double[] pool : running) {
            int highest = 0;
            for (double instances : pool) {
                highest = Math.max(highest, (int) Math.ceil(instances));
            }
            for (int level = 0; level < highest; level++) {
                held += heldSeconds(pool, level);
            }
        }
        return held;
    }

    /** The cost of the instance that is in use whenever more than a level of others are. */
    private static double heldSeconds(double[] pool, int level) {
        double cost = 0;
        int lastUsed = -1;
        for (int bin = 0; bin < pool.length; bin++) {
            if (pool[bin] <= level) {
                continue;
            }
            boolean first = lastUsed < 0;
            int gap = first ? BINS_PER_SECOND : Math.min(bin - lastUsed - 1, BRIDGED_BINS);
            cost += (1.0 + gap) / BINS_PER_SECOND;
            lastUsed = bin;
        }
        return cost;
    }

    /** The mean number of instances in use in a pool during a second. */
    double instances(int pool, int second) {
        double sum = 0;
        for (int bin = 0; bin < BINS_PER_SECOND; bin++) {
            sum += running[pool][second * BINS_PER_SECOND + bin];
        }
        return sum / BINS_PER_SECOND;
    }
}
