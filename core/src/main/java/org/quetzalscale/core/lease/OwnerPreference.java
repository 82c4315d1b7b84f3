package org.quetzalscale.core.lease;

import java.util.Collection;

/**
 * Decides how long an instance leaves a free lease to others, so that the strongest instances own
 * the fleet. An owner on a weak instance reads the jobs of its predecessor and calls all workers so
 * slowly that its own lease expires meanwhile; under high load every takeover then causes the next.
 *
 * <p>Strength is the number of processor cores that the instance may use. Not thread-safe.
 */
public final class OwnerPreference {
    /** Part of the strongest sibling's cores from which an instance counts as strong. */
    private static final double STRONG_FRACTION = 0.7;

    /** Longer than the time between two looks of a strong instance at the lease. */
    private static final long WEAK_WAIT_MILLIS = 500;

    private final double ownCores;
    private double strongestCores;

    /** Creates a preference that knows of no siblings. */
    public OwnerPreference(double ownCores) {
        this.ownCores = ownCores;
    }

    /** Replaces the cores of the siblings. */
    public void updateSiblings(Collection<Double> cores) {
        strongestCores = cores.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    /** How long this instance waits before it takes a lease that it may take, in milliseconds. */
    public long waitMillis() {
        return ownCores < STRONG_FRACTION * strongestCores ? WEAK_WAIT_MILLIS : 0;
    }
}
