package org.quetzalscale.core.share;

/**
 * An amount of each resource that jobs share.
 *
 * @param cores processors
 * @param memoryMib memory in MiB
 * @param slots slots of workers
 */
public record Resources(double cores, double memoryMib, double accelerators, double slots) {
    /** Nothing of any resource. */
    public static final Resources NONE = new Resources(0, 0, 0, 0);

    /** Tolerance of comparisons, because sums of parts are rounded. */
    private static final double ROUNDING = 1e-9;

    /** The sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                cores + other.cores,
                memoryMib + other.memoryMib,
                accelerators + other.accelerators,
                slots + other.slots);
    }

    /** This less the other; parts may be negative. */
    public Resources minus(Resources other) {
        return plus(other.times(-1));
    }

    /** Every part multiplied. */
    public Resources times(double factor) {
        return new Resources(
                cores * factor, memoryMib * factor, accelerators * factor, slots * factor);
    }

    /** The smaller of both, part by part. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cores, other.cores),
                Math.min(memoryMib, other.memoryMib),
                Math.min(accelerators, other.accelerators),
                Math.min(slots, other.slots));
    }

    /** The larger of both, part by part. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cores, other.cores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(accelerators, other.accelerators),
                Math.max(slots, other.slots));
    }

    /** Whether no part exceeds the room. */
    public boolean fitsIn(Resources room) {
        return fits(cores, room.cores)
                && fits(memoryMib, room.memoryMib)
                && fits(accelerators, room.accelerators)
                && fits(slots, room.slots);
    }

    /** The largest part of a capacity that any one resource takes; 0 to 1 if it fits. */
    public double dominantPart(Resources capacity) {
        return Math.max(
                Math.max(part(cores, capacity.cores), part(memoryMib, capacity.memoryMib)),
                Math.max(part(accelerators, capacity.accelerators), part(slots, capacity.slots)));
    }

    /** The parts in the order cores, memory, accelerators, slots. */
    double[] parts() {
        return new double[] {cores, memoryMib, accelerators, slots};
    }

    private static boolean fits(double needed, double room) {
        return needed <= room + ROUNDING * Math.max(1, Math.abs(room));
    }

    private static double part(double used, double capacity) {
        if (used <= 0) {
            return 0;
        }
        return capacity > 0 ? used / capacity : 1;
    }
}
