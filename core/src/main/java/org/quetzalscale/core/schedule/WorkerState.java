package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;

/** A worker with the tasks and resources assigned to it. */
final class WorkerState {
    /** Number of consecutive failures after which a worker gets one task at a time. */
    private static final int SUSPECT_FAILURES = 3;

    WorkerEntry entry;

    /**
     * Whether the current incarnation has reported to this owner, and so accepts no orders of an
     * earlier one.
     */
    boolean reported;

    /** Whether the platform lists the worker. */
    boolean registered = true;

    /** The instance that runs the worker; null if not known yet. */
    InstanceId instance;

    /** Whether the worker is drained for maintenance or a move. */
    boolean cordoned;

    /**
     * Whether the last reported incarnation has left as planned: its entry was draining, and that
     * of a later one has been read.
     */
    boolean leftAsPlanned;

    /** Whether calls to the worker fail. */
    boolean unresponsive;

    long unresponsiveSinceMillis;

    /**
     * No task is started before this time, after the worker rejected a start or a task stalled on
     * it.
     */
    long avoidUntilMillis;

    /** Start of the newest known incarnation in Unix milliseconds; 0 if unknown. */
    long startedEpochMillis;

    int consecutiveFailures;
    long lastFailureMillis;
    Resources used = Resources.NONE;
    final Map<TaskRef, TrackedTask> tasks = new LinkedHashMap<>();

    /**
     * Reported runs that are not the current run of their task and are being stopped, with the
     * resources that they use.
     */
    final Map<RunningTask, Resources> orphanedRuns = new HashMap<>();

    WorkerState(WorkerEntry entry) {
        this.entry = entry;
        this.startedEpochMillis = entry.startedEpochMillis();
    }

    boolean acceptsTasks(long nowMillis) {
        return reported
                && registered
                && !cordoned
                && !unresponsive
                && !entry.draining()
                && nowMillis >= avoidUntilMillis;
    }

    boolean isUnresponsiveFor(long millis, long nowMillis) {
        return unresponsive && nowMillis - unresponsiveSinceMillis >= millis;
    }

    boolean isSuspect() {
        return consecutiveFailures >= SUSPECT_FAILURES;
    }

    boolean hasCapacityFor(Resources need) {
        Resources total = used.plus(need);
        for (Resources orphaned : orphanedRuns.values()) {
            total = total.plus(orphaned);
        }
        return total.fitsIn(entry.capacity());
    }

    double freeCores() {
        return entry.capacity().cores() - used.cores();
    }

    /** Fraction of the worker's processors that is free, 0 to 1. */
    double freeCoreFraction() {
        double cores = entry.capacity().cores();
        return cores <= 0 ? 0 : freeCores() / cores;
    }

    boolean hasLastingTasks() {
        return tasks.values().stream().anyMatch(task -> task.step.definition.lasting());
    }

    /** Whether a task runs here under which another worker has crashed. */
    boolean runsCrashSuspect() {
        return tasks.values().stream().anyMatch(TrackedTask::isCrashSuspect);
    }

    /** Whether a task of another job runs here under which several workers have crashed. */
    boolean runsStrongCrashSuspectBeside(JobRun job) {
        return tasks.values().stream()
                .anyMatch(task -> task.step.job != job && task.isStrongCrashSuspect());
    }

    /** The number of tasks here that a crash of the worker would make suspects. */
    long tasksNotServing() {
        return tasks.values().stream().filter(task -> !task.isShownHarmless()).count();
    }

    int tasksOf(StepRun step) {
        int count = 0;
        for (TrackedTask task : tasks.values()) {
            if (task.step == step) {
                count++;
            }
        }
        return count;
    }
}
