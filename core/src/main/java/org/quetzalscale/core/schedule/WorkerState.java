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
    /** Above the rounding errors of sums of processors. Plans ask most workers in vain. */
    private static final double CORE_TOLERANCE = 1e-3;

    WorkerEntry entry;

    /**
     * Whether the current incarnation has reported to this owner, and so accepts no orders of an
     * earlier one.
     */
    boolean reported;

    /**
     * Whether a report has listed all runs of earlier owners that had ended. Before, a task of an
     * earlier owner that is in no list may have been done here.
     */
    boolean endsListed;

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

    /** Whether operators evacuate the worker's zone. */
    boolean inEvacuatedZone;

    /** Whether the worker's zone was restored, so that it gets its tasks gradually while cold. */
    boolean ramping;

    /** When the worker was first listed as cold. */
    long coldSinceMillis;

    /** Until when the worker is slow after its start. */
    long coldUntilMillis;

    /** Whether calls to the worker fail. */
    boolean unresponsive;

    long unresponsiveSinceMillis;

    /** When the worker answered last, or its present incarnation became known. */
    long heardMillis;

    /** When the call was sent that the worker answered last with a report. */
    long reportRequestedMillis;

    /**
     * No task is started before this time, after the worker rejected a start or a task stalled on
     * it.
     */
    long avoidUntilMillis;

    /** Start of the newest known incarnation in Unix milliseconds; 0 if unknown. */
    long startedEpochMillis;

    final WorkerHealth health = new WorkerHealth();
    Resources used = Resources.NONE;
    final Map<TaskRef, TrackedTask> tasks = new LinkedHashMap<>();

    /**
     * Reported runs that are not the current run of their task and are being stopped, with the
     * resources that they use.
     */
    final Map<RunningTask, Resources> orphanedRuns = new HashMap<>();

    /** Resources kept for tasks that are being stopped in an evacuated zone. */
    final Map<TrackedTask, Resources> keptRoom = new HashMap<>();

    WorkerState(WorkerEntry entry) {
        this.entry = entry;
        this.startedEpochMillis = entry.startedEpochMillis();
    }

    /** Replaces the entry with a newer one. */
    void updateEntry(WorkerEntry newer, long nowMillis) {
        entry = newer;
        if (newer.coldRemainingMillis() > 0) {
            coldSinceMillis = nowMillis < coldUntilMillis ? coldSinceMillis : nowMillis;
            coldUntilMillis = nowMillis + newer.coldRemainingMillis();
        }
    }

    /** Forgets that the worker has reported: what it runs is not known any more. */
    void forgetReports() {
        reported = false;
        endsListed = false;
    }

    boolean isUnresponsiveFor(long millis, long nowMillis) {
        return unresponsive && nowMillis - unresponsiveSinceMillis >= millis;
    }

    boolean hasCapacityFor(Resources need) {
        if (need.cores() > freeCores() + CORE_TOLERANCE) {
            return false;
        }
        Resources total = used.plus(need);
        for (Resources orphaned : orphanedRuns.values()) {
            total = total.plus(orphaned);
        }
        for (Resources kept : keptRoom.values()) {
            total = total.plus(kept);
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
        for (TrackedTask task : tasks.values()) {
            if (task.isCrashSuspect()) {
                return true;
            }
        }
        return false;
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
