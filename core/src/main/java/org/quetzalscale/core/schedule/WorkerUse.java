package org.quetzalscale.core.schedule;

import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Decides what a worker, or an instance, may be used for. It answers a fleet in which workers
 * leave, fail, are maintained or are in a zone that operators evacuate, so that placement, pool
 * moves and maintenance all follow the same rules.
 */
final class WorkerUse {
    /** Part of its processors that a worker of a restored zone offers at the start of its ramp. */
    private static final double RAMP_START_FRACTION = 0.25;

    private WorkerUse() {}

    /** Whether tasks may be started on the worker. */
    static boolean acceptsNewTasks(WorkerState worker, long nowMillis) {
        return worker.reported
                && worker.registered
                && !worker.unresponsive
                && !isEmptied(worker)
                && nowMillis >= worker.avoidUntilMillis;
    }

    /** Whether the worker gets no more tasks because it leaves, is cordoned or is evacuated. */
    static boolean isEmptied(WorkerState worker) {
        return worker.cordoned || worker.entry.draining() || worker.inEvacuatedZone;
    }

    /**
     * Whether the worker has the resources for a task of the step. A cold worker of a restored zone
     * offers a part of its processors that grows until the worker is warm. One task may exceed it,
     * and lasting tasks may, which would be unavailable meanwhile.
     */
    static boolean hasRoomFor(WorkerState worker, StepDefinition step, long nowMillis) {
        Resources need = step.reserved();
        if (!worker.hasCapacityFor(need)) {
            return false;
        }
        double offered = worker.entry.capacity().cores() * offeredFraction(worker, nowMillis);
        return worker.tasks.isEmpty()
                || step.lasting()
                || worker.used.cores() + need.cores() <= offered;
    }

    /** Whether lasting tasks may stay on the worker; if not, they are restarted elsewhere. */
    static boolean keepsLastingTasks(WorkerState worker) {
        return !worker.inEvacuatedZone;
    }

    /** Whether a stop of one of the worker's tasks can be expected to be carried out soon. */
    static boolean followsOrders(WorkerState worker) {
        return worker.reported && !worker.unresponsive;
    }

    /** Whether the worker's instance may be moved to another pool. */
    static boolean isMovable(WorkerState worker, boolean drainedForMove, long nowMillis) {
        return acceptsNewTasks(worker, nowMillis) || (drainedForMove && !worker.inEvacuatedZone);
    }

    /** Whether a maintenance may drain the worker. */
    static boolean permitsMaintenance(WorkerState worker) {
        return !worker.cordoned;
    }

    /** Whether the worker counts when the available part of its pool is calculated. */
    static boolean countsInPool(WorkerState worker) {
        return !worker.inEvacuatedZone;
    }

    /** Whether an instance may be moved into a pool, or counts as capacity of the one it is in. */
    static boolean isPoolCapacity(FleetState fleet, FleetInstance instance) {
        if (instance.zone().filter(fleet::isEvacuated).isPresent()) {
            return false;
        }
        return instance.worker()
                .map(fleet.workers::get)
                .filter(worker -> worker.inEvacuatedZone)
                .isEmpty();
    }

    private static double offeredFraction(WorkerState worker, long nowMillis) {
        if (!worker.ramping || nowMillis >= worker.coldUntilMillis) {
            return 1;
        }
        double coldMillis = worker.coldUntilMillis - worker.coldSinceMillis;
        return Math.max(RAMP_START_FRACTION, (nowMillis - worker.coldSinceMillis) / coldMillis);
    }
}
