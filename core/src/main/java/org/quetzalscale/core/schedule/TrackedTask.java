package org.quetzalscale.core.schedule;

import java.util.Set;
import java.util.TreeSet;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.TaskRef;

/** A task with the state of its runs as its owner knows it. */
final class TrackedTask {
    enum State {
        /** No run exists; the task can be started. */
        WAITING,
        /** A start was sent and has not been answered. */
        STARTING,
        /** The worker confirmed the run. */
        RUNNING,
        /** A run that may exist is being stopped. */
        STOPPING,
        /** The task has succeeded. */
        DONE,
        /** The task will not run any more, because its job has ended. */
        DROPPED
    }

    private static final int SERVING_PERCENT = 100;

    final TaskRef ref;
    final StepRun step;
    State state = State.WAITING;
    WorkerId worker;
    WorkerId lastFailedOn;
    long run;
    String checkpoint = "";
    int failures;

    /**
     * Numbers of the failed runs, each counted once: a worker may report the same end again to a
     * later owner.
     */
    final Set<Long> failedRuns = new TreeSet<>();

    int percent;
    int pacePercent = 100;
    long load;
    long lastPacedMillis;

    /** When the task entered its current state. */
    long stateSinceMillis;

    /** When {@link #percent} last changed. */
    long lastProgressMillis;

    /** Whether an instance order that ends the run was sent. */
    boolean evicting;

    /** The task is not started before this time. */
    long retryAtMillis;

    long stopSentMillis;

    /** When the worker answered the stop; 0 if it has not. */
    long stopAnsweredMillis;

    TrackedTask(TaskRef ref, StepRun step) {
        this.ref = ref;
        this.step = step;
    }

    /** Adds the failed runs that an earlier owner recorded. */
    void restore(Set<Long> recorded) {
        failedRuns.addAll(recorded);
        failures = failedRuns.size();
        for (long failed : recorded) {
            run = Math.max(run, failed);
        }
    }

    /** Whether the task uses resources of a worker. */
    boolean isAssigned() {
        return state == State.STARTING || state == State.RUNNING || state == State.STOPPING;
    }

    /**
     * Whether the task runs at 100 percent and is not being evicted. A lasting task then serves its
     * users.
     */
    boolean isServing() {
        return state == State.RUNNING && percent >= SERVING_PERCENT && !evicting;
    }

    void transitionTo(State next, long nowMillis) {
        state = next;
        stateSinceMillis = nowMillis;
    }
}
