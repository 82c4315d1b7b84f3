package org.quetzalscale.core.schedule;

import java.util.HashSet;
import java.util.Set;
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
    private static final int STRONG_SUSPECT_CRASHES = 2;

    final TaskRef ref;
    final StepRun step;
    State state = State.WAITING;
    WorkerId worker;
    WorkerId lastFailedOn;

    long run;
    String checkpoint = "";

    /** Number of failed runs; of runs that ended by themselves if the task is lasting. */
    int failures;

    /**
     * Numbers of the failed runs, each counted once: a worker may report the same end again to a
     * later owner.
     */
    private Set<Long> failedRuns = Set.of();

    /** Numbers of the runs whose workers crashed. */
    private Set<Long> crashedRuns = Set.of();

    final RunProgress progress = new RunProgress();
    int pacePercent = 100;
    long load;
    long lastPacedMillis;

    /** When the task entered its current state. */
    long stateSinceMillis;

    /** Number of runs that were stopped because they made no progress. */
    int stalledRuns;

    /** Whether an instance order that ends the run was sent. */
    boolean evicting;

    /** The task is not started before this time. */
    long retryAtMillis;

    /** When the wait for an answer to the start ended; 0 if it has not. */
    long unansweredMillis;

    long stopSentMillis;

    /** When the worker answered the stop; 0 if it has not. */
    long stopAnsweredMillis;

    TrackedTask(TaskRef ref, StepRun step) {
        this.ref = ref;
        this.step = step;
    }

    /** Numbers of the failed runs; an immutable set. */
    Set<Long> failedRuns() {
        return failedRuns;
    }

    /** Numbers of the runs whose workers crashed; an immutable set. */
    Set<Long> crashedRuns() {
        return crashedRuns;
    }

    /** Adds a failed run. Returns false if it is known. */
    boolean addFailedRun(long number) {
        Set<Long> before = failedRuns;
        failedRuns = union(before, Set.of(number));
        return failedRuns.size() > before.size();
    }

    /** Adds a run whose worker crashed. */
    void addCrashedRun(long number) {
        crashedRuns = union(crashedRuns, Set.of(number));
    }

    /** Forgets the crashes, because the task was not their cause. */
    void clearCrashes() {
        crashedRuns = Set.of();
    }

    private static Set<Long> union(Set<Long> some, Set<Long> others) {
        Set<Long> all = new HashSet<>(some);
        all.addAll(others);
        return Set.copyOf(all);
    }

    /** Adds the failed runs that an earlier owner recorded. */
    void restoreFailures(Set<Long> recorded) {
        failedRuns = union(failedRuns, recorded);
        failures = failedRuns.size();
        recorded.forEach(this::skipRunsUpTo);
    }

    /** Adds the runs whose workers crashed, as an earlier owner recorded them. */
    void restoreCrashes(Set<Long> recorded) {
        crashedRuns = union(crashedRuns, recorded);
        recorded.forEach(this::skipRunsUpTo);
    }

    private void skipRunsUpTo(long earlier) {
        run = Math.max(run, earlier);
    }

    /** Whether a worker crashed under the task and the present run has not shown it harmless. */
    boolean isCrashSuspect() {
        return !crashedRuns.isEmpty() && !isShownHarmless();
    }

    /** Whether the present run does lasting work. A task that ends shows it only by its end. */
    boolean isShownHarmless() {
        return step.definition.lasting() && isServing();
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
        return state == State.RUNNING && progress.percent() >= SERVING_PERCENT && !evicting;
    }

    /**
     * Whether several workers crashed under the task. {@link Placement} keeps it apart from other
     * tasks of this kind, so that a further crash does not raise the suspicion against both.
     */
    boolean isStrongCrashSuspect() {
        return isCrashSuspect() && crashedRuns.size() >= STRONG_SUSPECT_CRASHES;
    }

    void transitionTo(State next, long nowMillis) {
        state = next;
        stateSinceMillis = nowMillis;
    }
}
