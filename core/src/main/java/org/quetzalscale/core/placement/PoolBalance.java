package org.quetzalscale.core.placement;

/**
 * Weighs what a pool lacks against what it has too much of, over time.
 *
 * <p>A worker comes only after the lack has cost as much as a move, and goes only after the surplus
 * has; so a burst that ends soon moves nothing, and moves cost at most about as much as they save.
 */
final class PoolBalance {
    private double cost;

    /**
     * Adds the cost of some time.
     *
     * @param weighted cost per second: positive for a lack, negative for a surplus
     * @param limit cost of one move, beyond which nothing adds up
     */
    void add(double weighted, double seconds, double limit) {
        cost = Math.max(-limit, Math.min(limit, cost + weighted * seconds));
    }

    boolean isLacking(double limit) {
        return cost >= limit && cost > 0;
    }

    boolean isIdle(double limit) {
        return cost <= -limit && cost < 0;
    }

    void reset() {
        cost = 0;
    }
}
