package org.quetzalscale.core.schedule;

import java.util.List;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Stops tasks that make no progress although their worker responds and lists them. They are then
 * started again, preferably on another worker.
 */
final class StallDetector {
    /**
     * Time without progress after which a task counts as stalled. Tasks on slow workers still
     * progress within it.
     */
    private static final long STALL_MILLIS = 2_000;

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
                && nowMillis - Math.max(task.stateSinceMillis, task.lastProgressMillis)
                        >= STALL_MILLIS;
    }
}
