package org.quetzalscale.core.schedule;

import java.util.List;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Stops tasks that make no progress although their worker responds and lists them. They are then
 * started again, preferably on another worker.
 *
 * <p>Progress is reported in whole percent, so a run that works shows the same percent for a
 * hundredth of its run time or more. How long it may do so follows from its own pace, or else from
 * the pace of its siblings, or else from the declared run time. Each stalled run doubles that time
 * for the next run of the task, so that a task that was misjudged ends after a few starts.
 */
final class StallDetector {
    /** Time for which every run may show no progress. Tasks on slow workers progress within it. */
    private static final long MIN_TOLERANCE_MILLIS = 2_000;

    /** Percent at its own pace for which a run may show no progress. */
    private static final double OWN_PACE_PERCENT = 8;

    /**
     * Percent at the expected pace for which a run of unknown pace may show no progress.
     * Declarations are too short by large factors, and a caller who declared a long task has time.
     */
    private static final double EXPECTED_PACE_PERCENT = 25;

    private static final double ALL_PERCENT = 100;
    private static final int MAX_DOUBLINGS = 10;

    /** Time for which a worker gets no new tasks after one of its tasks stalled. */
    private static final long AVOID_MILLIS = 3_000;

    private final JobLifecycle jobs;

    StallDetector(JobLifecycle jobs) {
        this.jobs = jobs;
    }

    /** Stops the stalled tasks of a worker after its latest report was applied. */
    void check(WorkerState worker, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (hasStalled(task, nowMillis)) {
                worker.avoidUntilMillis = nowMillis + AVOID_MILLIS;
                task.lastFailedOn = worker.entry.id();
                task.stalledRuns++;
                jobs.stop(task, nowMillis);
            }
        }
    }

    private static boolean hasStalled(TrackedTask task, long nowMillis) {
        StepDefinition step = task.step.definition;
        // Fillers may be paced down to 0 percent, and members of a gang wait for each other.
        return task.state == TrackedTask.State.RUNNING
                && !step.filler()
                && !step.gang()
                && !task.isServing()
                && nowMillis - Math.max(task.stateSinceMillis, task.progress.movedMillis())
                        >= toleranceMillis(task);
    }

    /** Time for which the current run of the task may show no progress. */
    private static double toleranceMillis(TrackedTask task) {
        double tolerance = OWN_PACE_PERCENT * task.progress.millisPerPercent();
        if (!task.progress.isPaceKnown()) {
            double expected = EXPECTED_PACE_PERCENT * expectedMillisPerPercent(task.step);
            tolerance = Math.max(tolerance, expected);
        }
        int doublings = Math.min(task.stalledRuns, MAX_DOUBLINGS);
        return Math.max(tolerance, MIN_TOLERANCE_MILLIS) * (1 << doublings);
    }

    private static double expectedMillisPerPercent(StepRun step) {
        if (step.slowestMillisPerPercent() > 0) {
            return step.slowestMillisPerPercent();
        }
        // A lasting task reaches 100 percent with the end of its start-up, which is short.
        return step.definition.lasting() ? 0 : step.definition.estimateMillis() / ALL_PERCENT;
    }
}
