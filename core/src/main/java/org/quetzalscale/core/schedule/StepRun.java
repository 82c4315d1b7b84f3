package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.StepProgress;
import org.quetzalscale.core.task.TaskRef;

/** A step in one occurrence of a job, with the state of its tasks. */
final class StepRun {
    /** Workers on which a step has to fail before it is to blame: some may fail all they start. */
    private static final int MANY_WORKERS = 3;

    /** A run that lasts this many times as long as any failed one of its step will succeed. */
    private static final long SUCCESS_FACTOR = 2;

    final JobRun job;
    final int occurrence;
    final int number;
    final StepDefinition definition;
    final List<TrackedTask> tasks;
    private int done;
    private int assigned;
    private boolean started;

    /** Workers on which tasks of the step have failed, {@link #MANY_WORKERS} at most. */
    private Set<WorkerId> failedOn = Set.of();

    private long longestFailedMillis;
    private double slowestMillisPerPercent;

    StepRun(JobRun job, int occurrence, int number, StepDefinition definition) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.definition = definition;
        this.tasks = new ArrayList<>(definition.count());
        for (int index = 0; index < definition.count(); index++) {
            TaskRef ref = new TaskRef(job.definition.id(), occurrence, number, index);
            tasks.add(new TrackedTask(ref, this));
        }
    }

    boolean isDone() {
        return done == tasks.size();
    }

    int remaining() {
        return tasks.size() - done;
    }

    /** Whether a task of the step was started by this owner or an earlier one. */
    boolean hasStarted() {
        return started;
    }

    /** Whether a worker may run a task of the step. */
    boolean hasAssignedTasks() {
        return assigned > 0;
    }

    void recordAssigned() {
        assigned++;
    }

    void recordUnassigned() {
        assigned--;
    }

    void markStarted() {
        started = true;
    }

    void markDone(TrackedTask task, long nowMillis) {
        if (task.state == TrackedTask.State.DONE) {
            return;
        }
        task.transitionTo(TrackedTask.State.DONE, nowMillis);
        done++;
        started = true;
    }

    void recordFailureOn(WorkerId worker, long durationMillis) {
        if (failedOn.size() < MANY_WORKERS) {
            Set<WorkerId> workers = new HashSet<>(failedOn);
            workers.add(worker);
            failedOn = Set.copyOf(workers);
        }
        longestFailedMillis = Math.max(longestFailedMillis, durationMillis);
    }

    /** Records the pace of a run of the step, if that is known. */
    void recordPace(RunProgress progress) {
        if (progress.isPaceKnown()) {
            slowestMillisPerPercent =
                    Math.max(slowestMillisPerPercent, progress.millisPerPercent());
        }
    }

    /** The longest mean time that a run of the step took for one percent; 0 if none is known. */
    double slowestMillisPerPercent() {
        return slowestMillisPerPercent;
    }

    /**
     * Whether tasks of the step fail on many workers and succeed on none. A run that has lasted
     * much longer than the failed ones counts as a success.
     */
    boolean failsEverywhere(long nowMillis) {
        return failedOn.size() == MANY_WORKERS
                && done == 0
                && tasks.stream().noneMatch(t -> outlasts(t, nowMillis));
    }

    private boolean outlasts(TrackedTask task, long nowMillis) {
        return task.state == TrackedTask.State.RUNNING
                && nowMillis - task.stateSinceMillis > SUCCESS_FACTOR * longestFailedMillis;
    }

    /** Restores the progress that an earlier owner recorded. */
    void restore(StepProgress progress, long nowMillis) {
        progress.done().stream()
                .filter(index -> index < tasks.size())
                .forEach(index -> markDone(tasks.get(index), nowMillis));
        progress.failures().forEach((index, runs) -> tasks.get(index).restoreFailures(runs));
        progress.crashes().forEach((index, runs) -> tasks.get(index).restoreCrashes(runs));
        progress.checkpoints().forEach((index, text) -> tasks.get(index).checkpoint = text);
        if (!progress.failures().isEmpty() || !progress.crashes().isEmpty()) {
            markStarted();
        }
    }

    StepProgress progress() {
        BitSet finished = new BitSet(tasks.size());
        Map<Integer, Set<Long>> failures = new HashMap<>();
        Map<Integer, Set<Long>> crashes = new HashMap<>();
        Map<Integer, String> checkpoints = new HashMap<>();
        for (TrackedTask task : tasks) {
            int index = task.ref.index();
            if (task.state == TrackedTask.State.DONE) {
                finished.set(index);
                continue;
            }
            if (!task.failedRuns().isEmpty()) {
                failures.put(index, task.failedRuns());
            }
            if (!task.crashedRuns().isEmpty()) {
                crashes.put(index, task.crashedRuns());
            }
            if (!task.checkpoint.isEmpty()) {
                checkpoints.put(index, task.checkpoint);
            }
        }
        return new StepProgress(occurrence, number, finished, failures, crashes, checkpoints);
    }
}
