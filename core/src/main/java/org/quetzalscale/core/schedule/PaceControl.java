package org.quetzalscale.core.schedule;

import org.quetzalscale.core.task.StepDefinition;

/**
 * Throttles filler tasks on a worker when the lasting tasks beside them come close to their
 * response-time limit, and raises their processor share again gradually.
 */
final class PaceControl {
    /** Fillers are throttled when a response-time tail exceeds this fraction of its limit. */
    private static final double HIGH_WATERMARK = 0.85;

    /** Fillers get more processor time when all tails are below this fraction of their limits. */
    private static final double LOW_WATERMARK = 0.6;

    private static final int MIN_PERCENT = 0;
    private static final int MAX_PERCENT = 100;
    private static final int STEP_UP_PERCENT = 10;
    private static final long MIN_INTERVAL_MILLIS = 500;

    private final OrderSender orders;

    PaceControl(OrderSender orders) {
        this.orders = orders;
    }

    /** Adjusts the fillers of a worker after its latest report. */
    void adjust(WorkerState worker, long nowMillis) {
        double pressure = pressure(worker);
        for (TrackedTask task : worker.tasks.values()) {
            if (!task.step.definition.filler() || task.state != TrackedTask.State.RUNNING) {
                continue;
            }
            int percent = nextPercent(task.pacePercent, pressure);
            if (percent != task.pacePercent
                    && nowMillis - task.lastPacedMillis >= MIN_INTERVAL_MILLIS) {
                task.pacePercent = percent;
                task.lastPacedMillis = nowMillis;
                orders.pace(worker.entry.id(), task.ref, task.run, percent);
            }
        }
    }

    /**
     * The highest ratio of response-time tail to limit of the worker's tasks; 0 if none has a
     * limit.
     */
    private static double pressure(WorkerState worker) {
        double pressure = 0;
        for (TrackedTask task : worker.tasks.values()) {
            StepDefinition step = task.step.definition;
            if (step.targetMillis() > 0 && task.isServing()) {
                pressure = Math.max(pressure, (double) task.load / step.targetMillis());
            }
        }
        return pressure;
    }

    private static int nextPercent(int percent, double pressure) {
        if (pressure > 1) {
            return MIN_PERCENT;
        }
        if (pressure > HIGH_WATERMARK) {
            return percent / 2;
        }
        if (pressure < LOW_WATERMARK) {
            return Math.min(MAX_PERCENT, percent + STEP_UP_PERCENT);
        }
        return percent;
    }
}
