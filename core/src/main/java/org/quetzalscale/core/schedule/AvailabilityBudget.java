package org.quetzalscale.core.schedule;

/**
 * Limits how many tasks of a lasting step the owner makes unavailable at the same time. Tasks that
 * are unavailable for any other reason count against the step's budget as well.
 */
final class AvailabilityBudget {
    private final FleetState fleet;

    AvailabilityBudget(FleetState fleet) {
        this.fleet = fleet;
    }

    /** Whether all tasks of the worker may be ended together now. */
    boolean permitsEvictingAll(WorkerState worker) {
        for (TrackedTask task : worker.tasks.values()) {
            int budget = task.step.definition.maxUnavailable();
            if (budget > 0 && unavailableWithout(task.step, worker) > budget) {
                return false;
            }
        }
        return true;
    }

    /** Whether this one task may be ended now. */
    boolean permitsStop(TrackedTask task) {
        int budget = task.step.definition.maxUnavailable();
        if (budget == 0) {
            return true;
        }
        int unavailable = 1;
        for (TrackedTask other : task.step.tasks) {
            if (other != task && isUnavailable(other)) {
                unavailable++;
            }
        }
        return unavailable <= budget;
    }

    /**
     * The number of unavailable tasks of the step if those on the worker are counted as
     * unavailable.
     */
    private int unavailableWithout(StepRun step, WorkerState worker) {
        int unavailable = 0;
        for (TrackedTask task : step.tasks) {
            if (isUnavailable(task) || worker.entry.id().equals(task.worker)) {
                unavailable++;
            }
        }
        return unavailable;
    }

    /**
     * A task on an unresponsive worker counts as unavailable, because it may have ended with its
     * worker.
     */
    private boolean isUnavailable(TrackedTask task) {
        if (!task.isServing()) {
            return true;
        }
        WorkerState worker = fleet.workers.get(task.worker);
        return worker == null || worker.unresponsive;
    }
}
