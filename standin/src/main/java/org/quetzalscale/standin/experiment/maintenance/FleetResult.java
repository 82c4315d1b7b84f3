package org.quetzalscale.standin.experiment.maintenance;

/**
 * What one run measured.
 *
 * @param idleHours buffer cost: idle time of active workers, in worker-hours
 * @param rollOutSeconds time until all workers were maintained once; negative if they were not
 * @param delayedHours work that waited, in worker-hours of waiting
 * @param brokenSeconds time that pools were below their floors, in pool-seconds
 * @param refused drains that the budgets refused
 */
record FleetResult(
        double idleHours,
        long rollOutSeconds,
        int moves,
        double delayedHours,
        long brokenSeconds,
        int refused) {
    String line(String strategy) {
        String rollOut =
                rollOutSeconds < 0 ? "-" : String.format("%.2f h", rollOutSeconds / 3_600.0);
        return String.format(
                "  %-22s buffer %9.1f worker-h  roll-out %9s  moves %5d  delayed %8.2f worker-h"
                        + "  below floor %d pool-s  refused %d",
                strategy, idleHours, rollOut, moves, delayedHours, brokenSeconds, refused);
    }
}
