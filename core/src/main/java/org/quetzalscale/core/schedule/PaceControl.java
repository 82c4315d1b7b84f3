package org.quetzalscale.core.schedule;

import org.quetzalscale.core.task.StepDefinition;

/**
 * Slows fillers down where serving tasks beside them come near their response-time limit, and
 * speeds them up again slowly.
 */
final class PaceControl {
    /** Fillers slow down when a tail exceeds this part of its limit. */
    private static final double HIGH_WATER = 0.85;

    /** Fillers speed up when all tails are below this part of their limits. */
    private static final double LOW_WATER = 0.6;

    private static final int FLOOR_PERCENT = 0;
    private static final int FULL_PERCENT = 100;
    private static final int STEP_UP_PERCENT = 10;
    private static final long MIN_INTERVAL_MILLIS = 500;

    private final OrderSender orders;

    PaceControl(OrderSender orders) {
        this.orders = orders;
    }

    /** Adjusts the fillers of one worker to the latest report. */
    void adjust(WorkerState worker, long nowMillis) {
        double pressure = pressure(worker);
        for (TrackedTask task : worker.tasks.values()) {
            if (!task.step.definition.filler() || task.state != TrackedTask.State.RUNNING) {
                continue;
            }
            int percent = next(task.pacePercent, pressure);
            if (percent != task.pacePercent
                    && nowMillis - task.pacedMillis >= MIN_INTERVAL_MILLIS) {
                task.pacePercent = percent;
                task.pacedMillis = nowMillis;
                orders.pace(worker.entry.id(), task.ref, task.run, percent);
            }
        }
    }

    /** The largest tail in parts of its limit; 0 where nothing serves. */
    private static double pressure(WorkerState worker) {
        double pressure = 0;
        for (TrackedTask task : worker.tasks.values()) {
            StepDefinition step = task.step.definition;
            if (step.targetMillis() > 0 && task.isAtWork()) {
                pressure = Math.max(pressure, (double) task.load / step.targetMillis());
            }
        }
        return pressure;
    }

    private static int next(int percent, double pressure) {
        if (pressure > 1) {
            return FLOOR_PERCENT;
        }
        if (pressure > HIGH_WATER) {
            return percent / 2;
        }
        if (pressure < LOW_WATER) {
            return Math.min(FULL_PERCENT, percent + STEP_UP_PERCENT);
        }
        return percent;
    }
}
