package org.quetzalscale.core.schedule;

/**
 * Protects lasting tasks from orders of the owner: of a step with a budget, no more tasks may be
 * away at the same time than it permits. A task that is away for any other cause counts as well.
 */
final class AvailabilityBudget {
    private AvailabilityBudget() {}

    /** Whether all tasks of a worker may be ended at once now. */
    static boolean permitsEmptying(WorkerState worker) {
        for (TrackedTask task : worker.tasks.values()) {
            int budget = task.step.definition.maxUnavailable();
            if (budget > 0 && awayWithout(task.step, worker) > budget) {
                return false;
            }
        }
        return true;
    }

    /** Whether this task alone may be ended now. */
    static boolean permitsStop(TrackedTask task) {
        int budget = task.step.definition.maxUnavailable();
        return budget == 0 || away(task.step) - (task.isAtWork() ? 0 : 1) + 1 <= budget;
    }

    /** How many tasks of the step are away when those of the worker are. */
    private static int awayWithout(StepRun step, WorkerState worker) {
        int away = 0;
        for (TrackedTask task : step.tasks) {
            if (!task.isAtWork() || worker.entry.id().equals(task.worker)) {
                away++;
            }
        }
        return away;
    }

    private static int away(StepRun step) {
        int away = 0;
        for (TrackedTask task : step.tasks) {
            if (!task.isAtWork()) {
                away++;
            }
        }
        return away;
    }
}
