package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.TaskRef;

/**
 * The occurrences of a job. Only open ones hold state for each of their tasks: an occurrence is
 * opened shortly before it is due, or when a worker reports a run of it, and closed once it is
 * done. All others take one bit each, so that memory does not grow with the declared repetitions.
 */
final class JobOccurrences {
    /** Tasks of one job that are open at the same time, unless one occurrence has more. */
    private static final int MAX_OPEN_TASKS = 10_000;

    private final JobRun job;
    private final OpenTasks openTasks;
    private final long tasksOfOccurrence;
    private final BitSet done = new BitSet();
    private final NavigableMap<Integer, List<StepRun>> open = new TreeMap<>();

    /** All occurrences before this one are open or done. */
    private int next;

    JobOccurrences(JobRun job, OpenTasks openTasks) {
        this.job = job;
        this.openTasks = openTasks;
        this.tasksOfOccurrence = job.definition.taskCount();
    }

    int count() {
        return job.definition.recurrence().occurrences();
    }

    /** The open occurrences in the order of their due times. */
    NavigableMap<Integer, List<StepRun>> open() {
        return Collections.unmodifiableNavigableMap(open);
    }

    /** The steps of an open occurrence. */
    List<StepRun> steps(int occurrence) {
        return open.get(occurrence);
    }

    /** The first occurrence that is neither open nor done; {@link #count} if there is none. */
    int next() {
        while (next < count() && (done.get(next) || open.containsKey(next))) {
            next++;
        }
        return next;
    }

    /** Opens the occurrences that are due by the given time, as far as the limits permit. */
    void openDueBy(long epochMillis) {
        while (next() < count()
                && job.definition.recurrence().dueEpochMillis(next) <= epochMillis
                && mayOpen()) {
            open(next);
        }
    }

    private boolean mayOpen() {
        boolean fits = open.isEmpty() || (open.size() + 1) * tasksOfOccurrence <= MAX_OPEN_TASKS;
        return fits && openTasks.permits(tasksOfOccurrence);
    }

    /** Opens an occurrence, of which a run or a record exists, if it is neither open nor done. */
    private List<StepRun> openKnown(int occurrence) {
        List<StepRun> steps = open.get(occurrence);
        return steps != null || done.get(occurrence) ? steps : open(occurrence);
    }

    private List<StepRun> open(int occurrence) {
        List<StepRun> steps = new ArrayList<>(job.definition.steps().size());
        for (StepDefinition step : job.definition.steps()) {
            steps.add(new StepRun(job, occurrence, steps.size(), step));
        }
        open.put(occurrence, steps);
        openTasks.add(tasksOfOccurrence);
        return steps;
    }

    /** Returns the task; null if the job has no such task, or it needs no more runs. */
    TrackedTask task(TaskRef ref) {
        if (!hasStep(ref.occurrence(), ref.step()) || ref.index() < 0) {
            return null;
        }
        List<StepRun> steps =
                job.phase.isFinal() ? open.get(ref.occurrence()) : openKnown(ref.occurrence());
        if (steps == null) {
            return null;
        }
        List<TrackedTask> tasks = steps.get(ref.step()).tasks;
        return ref.index() < tasks.size() ? tasks.get(ref.index()) : null;
    }

    private boolean hasStep(int occurrence, int step) {
        return occurrence >= 0
                && occurrence < count()
                && step >= 0
                && step < job.definition.steps().size();
    }

    /**
     * The step that a record of progress belongs to; null if it is done or does not exist.
     *
     * @throws IndexOutOfBoundsException if a number is negative
     */
    StepRun recordedStep(int occurrence, int step) {
        Objects.checkIndex(occurrence, Integer.MAX_VALUE);
        Objects.checkIndex(step, Integer.MAX_VALUE);
        if (!hasStep(occurrence, step)) {
            return null;
        }
        List<StepRun> steps = openKnown(occurrence);
        return steps == null ? null : steps.get(step);
    }

    /** Marks the occurrences as done that an earlier owner recorded. */
    void restoreDone(BitSet recorded) {
        for (int i = recorded.nextSetBit(0);
                i >= 0 && i < count();
                i = recorded.nextSetBit(i + 1)) {
            done.set(i);
        }
    }

    BitSet done() {
        return (BitSet) done.clone();
    }

    boolean allDone() {
        return done.cardinality() == count();
    }

    boolean hasStarted() {
        return !done.isEmpty()
                || open.values().stream().flatMap(List::stream).anyMatch(StepRun::hasStarted);
    }

    /** Closes an open occurrence if all of its tasks are done. */
    void closeIfDone(int occurrence) {
        List<StepRun> steps = open.get(occurrence);
        if (steps != null && steps.stream().allMatch(StepRun::isDone)) {
            done.set(occurrence);
            close(occurrence);
        }
    }

    /** Closes an open occurrence if no worker runs a task of it. For jobs that have ended. */
    void closeIfIdle(int occurrence) {
        List<StepRun> steps = open.get(occurrence);
        if (steps != null && steps.stream().noneMatch(StepRun::hasAssignedTasks)) {
            close(occurrence);
        }
    }

    /** Closes all open occurrences. For jobs that are forgotten. */
    void closeAll() {
        List.copyOf(open.keySet()).forEach(this::close);
    }

    private void close(int occurrence) {
        open.remove(occurrence);
        openTasks.remove(tasksOfOccurrence);
    }
}
