package org.quetzalscale.core.schedule;

import java.util.List;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Finds tasks that stand still: their worker lists them and answers, but they make no progress.
 * They are started again on another worker.
 */
final class StallDetector {
    /** Time without progress after which a task has stalled; slow workers still progress. */
    private static final long STALL_MILLIS = 2_000;

    /** A worker on which a task stalled gets no tasks for this long. */
    private static final long AVOID_MILLIS = 3_000;

    private final JobLifecycle jobs;

    StallDetector(JobLifecycle jobs) {
        this.jobs = jobs;
    }

    /** Stops the stalled tasks of a worker whose lists were taken just now. */
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
        // Fillers may be paced down to nothing, and members of a gang wait for each other.
        return task.state == TrackedTask.State.RUNNING
                && !step.filler()
                && !step.gang()
                && !task.isAtWork()
                && nowMillis - Math.max(task.sinceMillis, task.progressedMillis) >= STALL_MILLIS;
    }
}
