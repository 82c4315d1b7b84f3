package org.quetzalscale.core.schedule;

import java.util.Set;
import java.util.TreeSet;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.TaskRef;

/** A task with what its owner knows of its runs. */
final class TrackedTask {
    enum State {
        /** Nothing runs; may be started when its turn comes. */
        WAITING,
        /** A start was sent and is not answered. */
        ORDERED,
        /** The worker confirmed the run. */
        RUNNING,
        /** A run that may exist is being stopped. */
        STOPPING,
        /** The task ended well. */
        DONE,
        /** Will not run any more, because its job ended. */
        DROPPED
    }

    private static final int AT_WORK_PERCENT = 100;

    final TaskRef ref;
    final StepRun step;
    State state = State.WAITING;
    WorkerId worker;
    WorkerId lastFailedOn;
    long run;
    String checkpoint = "";
    int failures;

    /** The failed runs that are counted; a worker may list an end again to a later owner. */
    final Set<Long> failedRuns = new TreeSet<>();

    int percent;
    int pacePercent = 100;
    long load;
    long pacedMillis;

    /** When the present state began. */
    long sinceMillis;

    /** When the percentage last changed. */
    long progressedMillis;

    /** Whether an order that ends the run is under way. */
    boolean evicted;

    /** No start before this time. */
    long notBeforeMillis;

    long stopSentMillis;

    /** When the worker answered the stop; 0 before. */
    long stopAnsweredMillis;

    TrackedTask(TaskRef ref, StepRun step) {
        this.ref = ref;
        this.step = step;
    }

    /** Takes over what an earlier owner counted. */
    void restore(Set<Long> recorded) {
        failures = recorded.size();
        failedRuns.addAll(recorded);
        for (long failed : recorded) {
            run = Math.max(run, failed);
        }
    }

    /** Whether the task takes room on a worker. */
    boolean occupies() {
        return state == State.ORDERED || state == State.RUNNING || state == State.STOPPING;
    }

    /** Whether the task does its work, as a lasting task's users see it. */
    boolean isAtWork() {
        return state == State.RUNNING && percent >= AT_WORK_PERCENT && !evicted;
    }

    void enter(State next, long nowMillis) {
        state = next;
        sinceMillis = nowMillis;
    }
}
