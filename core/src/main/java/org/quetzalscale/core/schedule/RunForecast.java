package org.quetzalscale.core.schedule;

/**
 * Expects when runs end, from the estimate of their step, their reported progress and the time that
 * they have run.
 */
final class RunForecast {
    /** The expected end of a task that runs until its job is cancelled. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * Part of its elapsed time that a run is expected to need when it has exceeded its estimate.
     */
    private static final double OVERRUN_FRACTION = 0.25;

    /** The first reports of a run are too coarse to derive its speed. */
    private static final int MIN_PERCENT = 10;

    private static final double ALL_PERCENT = 100;

    /** A stopped run ends with one of the next reports of its worker. */
    private static final long STOP_MILLIS = 100;

    private final RunTimeEstimator estimator;

    RunForecast(RunTimeEstimator estimator) {
        this.estimator = estimator;
    }

    /** The expected run time of a task of the step, or {@link #NEVER}. */
    long runMillis(StepRun step) {
        if (step.definition.lasting()) {
            return NEVER;
        }
        double estimate = estimator.estimateMillis(step.job.definition.queue(), step.definition);
        return Math.max(1, Math.round(estimate));
    }

    /** When an assigned task is expected to release its worker; later than now. */
    long endMillis(TrackedTask task, long nowMillis) {
        if (task.state == TrackedTask.State.STOPPING) {
            return orphanEndMillis(nowMillis);
        }
        if (task.step.definition.lasting()) {
            return NEVER;
        }
        long elapsed = nowMillis - task.stateSinceMillis;
        double total = totalMillis(task);
        double remaining = total > elapsed ? total - elapsed : OVERRUN_FRACTION * elapsed;
        return nowMillis + Math.max(1, Math.round(remaining));
    }

    /** When a run that is being stopped is expected to release its worker. */
    static long orphanEndMillis(long nowMillis) {
        return nowMillis + STOP_MILLIS;
    }

    /** When all tasks of the step are expected to be done; {@link #NEVER} if one still waits. */
    long doneMillis(StepRun step, long nowMillis) {
        long done = nowMillis;
        for (TrackedTask task : step.tasks) {
            if (task.state == TrackedTask.State.DONE) {
                continue;
            }
            if (task.state != TrackedTask.State.STARTING
                    && task.state != TrackedTask.State.RUNNING) {
                return NEVER;
            }
            done = Math.max(done, endMillis(task, nowMillis));
        }
        return done;
    }

    private double totalMillis(TrackedTask task) {
        long measured = task.progress.percentMillis() - task.stateSinceMillis;
        int percent = task.progress.percent();
        if (percent >= MIN_PERCENT && percent < ALL_PERCENT && measured > 0) {
            return measured * ALL_PERCENT / percent;
        }
        return runMillis(task.step);
    }
}
