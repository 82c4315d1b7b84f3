package org.quetzalscale.core.share;

/**
 * Amounts of the resources that are shared among teams.
 *
 * @param cores processor cores
 * @param memoryMib memory in MiB
 * @param accelerators accelerator devices
 * @param slots worker slots
 */
public record Resources(double cores, double memoryMib, double accelerators, double slots) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0, 0);

    /** Relative tolerance of comparisons, because sums have rounding errors. */
    private static final double TOLERANCE = 1e-9;

    /** Returns the sum, resource by resource. */
    public Resources plus(Resources other) {
        return new Resources(
                cores + other.cores,
                memoryMib + other.memoryMib,
                accelerators + other.accelerators,
                slots + other.slots);
    }

    /** Returns the difference, resource by resource; amounts may become negative. */
    public Resources minus(Resources other) {
        return plus(other.times(-1));
    }

    /** Returns every amount multiplied by a factor. */
    public Resources times(double factor) {
        return new Resources(
                cores * factor, memoryMib * factor, accelerators * factor, slots * factor);
    }

    /** Returns the minimum, resource by resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cores, other.cores),
                Math.min(memoryMib, other.memoryMib),
                Math.min(accelerators, other.accelerators),
                Math.min(slots, other.slots));
    }

    /** Returns the maximum, resource by resource. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cores, other.cores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(accelerators, other.accelerators),
                Math.max(slots, other.slots));
    }

    /** Returns whether no amount exceeds the available one, within the tolerance. */
    public boolean fitsIn(Resources available) {
        return fits(cores, available.cores)
                && fits(memoryMib, available.memoryMib)
                && fits(accelerators, available.accelerators)
                && fits(slots, available.slots);
    }

    /**
     * Returns the dominant share: the largest fraction of the capacity over all resources, 0 to 1
     * if the amounts fit. A resource without capacity counts as 1 if any of it is used.
     */
    public double dominantPart(Resources capacity) {
        return Math.max(
                Math.max(part(cores, capacity.cores), part(memoryMib, capacity.memoryMib)),
                Math.max(part(accelerators, capacity.accelerators), part(slots, capacity.slots)));
    }

    /** Returns the amounts in the order cores, memory, accelerators, slots. */
    double[] parts() {
        return new double[] {cores, memoryMib, accelerators, slots};
    }

    private static boolean fits(double needed, double available) {
        return needed <= available + TOLERANCE * Math.max(1, Math.abs(available));
    }

    private static double part(double used, double capacity) {
        if (used <= 0) {
            return 0;
        }
        return capacity > 0 ? used / capacity : 1;
    }
}
