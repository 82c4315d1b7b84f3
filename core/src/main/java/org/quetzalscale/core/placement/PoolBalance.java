package org.quetzalscale.core.placement;

/**
 * Accumulates the cost of a pool's shortage or surplus of workers over time.
 *
 * <p>A pool receives a worker only after the shortage has cost as much as a move, and gives one up
 * only after the surplus has. A short burst therefore moves nothing, and moves cost at most about
 * as much as they save.
 */
final class PoolBalance {
    /**
     * Minimum duration of a shortage before it counts, in seconds. A drain takes 5 s to take effect
     * and some more for the last requests, so a shorter shortage ends before a worker arrives.
     */
    private static final double MIN_SHORTAGE_SECONDS = 20;

    private double cost;
    private double shortageSeconds;

    /**
     * Adds the cost of an interval.
     *
     * @param weighted positive for a shortage, negative for a surplus
     * @param limit cost of one move, which bounds the accumulated cost in both directions
     */
    void add(double costPerSecond, double seconds, double limit) {
        shortageSeconds = costPerSecond > 0 ? shortageSeconds + seconds : 0;
        if (costPerSecond > 0 && shortageSeconds < MIN_SHORTAGE_SECONDS) {
            return;
        }
        cost = Math.max(-limit, Math.min(limit, cost + costPerSecond * seconds));
    }

    boolean isShort(double limit) {
        return cost >= limit && cost > 0;
    }

    boolean isIdle(double limit) {
        return cost <= -limit && cost < 0;
    }

    void reset() {
        cost = 0;
    }
}
