package org.quetzalscale.core.schedule;

import java.util.List;
import org.quetzalscale.core.task.JobPhase;

/**
 * Attributes crashes of workers to the tasks that ran on them, and fails the job of a task under
 * which workers keep crashing. It answers a task that takes down each worker that starts it, and
 * with the worker the work of all others there.
 *
 * <p>All tasks of a crashed worker are suspects, but for those that were serving. {@link Placement}
 * keeps suspects apart from other tasks, so that the next crash tells which of them is the cause.
 */
final class CrashAttribution {
    /** Crashes after which a task is given up if the last worker ran no other task. */
    private static final int MAX_CRASHES_ALONE = 3;

    /**
     * Crashes after which a task is given up. Unless it waited too long for such a worker, it was
     * the only strong suspect in the last two of them, so its neighbours are not given up with it.
     */
    private static final int MAX_CRASHES = 4;

    private final JobLifecycle jobs;
    private CrashListener listener = CrashListener.NONE;

    CrashAttribution(JobLifecycle jobs) {
        this.jobs = jobs;
    }

    void setListener(CrashListener newListener) {
        listener = newListener;
    }

    /**
     * Records that a worker ended without notice. Must be called before its tasks are released. The
     * end of a worker that drains, or is drained by this owner, was planned and is no crash.
     */
    void recordCrash(WorkerState worker, long nowMillis) {
        if (worker.entry.draining() || worker.leftAsPlanned || worker.cordoned) {
            return;
        }
        List<TrackedTask> suspects =
                worker.tasks.values().stream().filter(task -> !task.isShownHarmless()).toList();
        if (suspects.isEmpty()) {
            return;
        }
        listener.workerCrashed(worker.entry.id(), suspects.stream().map(task -> task.ref).toList());
        int limit = suspects.size() == 1 ? MAX_CRASHES_ALONE : MAX_CRASHES;
        for (TrackedTask task : suspects) {
            jobs.recordCrash(task);
            if (task.crashedRuns().size() >= limit && !task.step.job.phase.isFinal()) {
                listener.taskGivenUp(task.ref, task.crashedRuns().size());
                jobs.endJob(task.step.job, JobPhase.FAILED, nowMillis);
            }
        }
    }
}
