package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;

/** A worker with what the owner placed on it. */
final class WorkerState {
    /** Failures in a row after which a worker gets one task at a time. */
    private static final int SUSPECT_FAILURES = 3;

    WorkerEntry entry;

    /** Whether the worker has answered this owner, so that it follows no earlier one. */
    boolean open;

    /** Whether the platform lists the worker. */
    boolean listed = true;

    /** The instance that it runs on; null if the platform has not told. */
    InstanceId instance;

    /** Set while the worker is emptied for maintenance or a move. */
    boolean cordoned;

    /** Set while calls to the worker fail. */
    boolean silent;

    long silentSinceMillis;

    /** No start before this time, after the worker refused one. */
    long avoidUntilMillis;

    /** Start of the newest incarnation that is known; 0 if unknown. */
    long startedEpochMillis;

    int failuresInRow;
    long lastFailureMillis;
    Resources used = Resources.NONE;
    final Map<TaskRef, TrackedTask> tasks = new LinkedHashMap<>();

    /** Runs that the worker listed and that are being stopped, with the room that they take. */
    final Map<RunningTask, Resources> strays = new HashMap<>();

    WorkerState(WorkerEntry entry) {
        this.entry = entry;
        this.startedEpochMillis = entry.startedEpochMillis();
    }

    boolean takesWork(long nowMillis) {
        return open
                && listed
                && !cordoned
                && !silent
                && !entry.draining()
                && nowMillis >= avoidUntilMillis;
    }

    boolean isSilentFor(long millis, long nowMillis) {
        return silent && nowMillis - silentSinceMillis >= millis;
    }

    boolean isSuspect() {
        return failuresInRow >= SUSPECT_FAILURES;
    }

    boolean hasRoom(Resources need) {
        Resources total = used.plus(need);
        for (Resources stray : strays.values()) {
            total = total.plus(stray);
        }
        return total.fitsIn(entry.capacity());
    }

    /** The free part of the processors, 0 to 1. */
    double freeShare() {
        double cores = entry.capacity().cores();
        return cores <= 0 ? 0 : (cores - used.cores()) / cores;
    }

    boolean hasLastingTasks() {
        return tasks.values().stream().anyMatch(task -> task.step.definition.lasting());
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
