package org.quetzalscale.core.schedule;

/**
 * Protects lasting tasks from orders of the owner: of a step with a budget, no more tasks may be
 * away at the same time than it permits. A task that is away for any other cause counts as well.
 */
final class AvailabilityBudget {
    private final FleetState fleet;

    AvailabilityBudget(FleetState fleet) {
        this.fleet = fleet;
    }

    /** Whether all tasks of a worker may be ended at once now. */
    boolean permitsEmptying(WorkerState worker) {
        for (TrackedTask task : worker.tasks.values()) {
            int budget = task.step.definition.maxUnavailable();
            if (budget > 0 && awayWithout(task.step, worker) > budget) {
                return false;
            }
        }
        return true;
    }

    /** Whether this task alone may be ended now. */
    boolean permitsStop(TrackedTask task) {
        int budget = task.step.definition.maxUnavailable();
        if (budget == 0) {
            return true;
        }
        int away = 1;
        for (TrackedTask other : task.step.tasks) {
            if (other != task && isAway(other)) {
                away++;
            }
        }
        return away <= budget;
    }

    /** How many tasks of the step are away when those of the worker are. */
    private int awayWithout(StepRun step, WorkerState worker) {
        int away = 0;
        for (TrackedTask task : step.tasks) {
            if (isAway(task) || worker.entry.id().equals(task.worker)) {
                away++;
            }
        }
        return away;
    }

    /** A task on a silent worker may have ended with it. */
    private boolean isAway(TrackedTask task) {
        if (!task.isAtWork()) {
            return true;
        }
        WorkerState worker = fleet.workers.get(task.worker);
        return worker == null || worker.silent;
    }
}
