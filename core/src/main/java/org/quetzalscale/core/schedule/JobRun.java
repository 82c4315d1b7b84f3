package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StepProgress;
import org.quetzalscale.core.task.TaskRef;

/** A job with the state of all its tasks. */
final class JobRun {
    final JobDefinition definition;

    /** When the job was accepted, on the owner's monotonic clock in milliseconds. */
    final long acceptedMillis;

    /** The steps of each occurrence. */
    private final List<List<StepRun>> occurrences = new ArrayList<>();

    JobPhase phase = JobPhase.QUEUED;

    /** Whether starts are suspended, because the runs of an earlier owner are not all known. */
    boolean held;

    /**
     * Whether starts are suspended because the recorded progress cannot be read, so that tasks that
     * seem to wait may have run.
     */
    boolean progressUnreadable;

    JobRun(JobDefinition definition, long acceptedMillis) {
        this.definition = definition;
        this.acceptedMillis = acceptedMillis;
        for (int occurrence = 0; occurrence < definition.recurrence().occurrences(); occurrence++) {
            List<StepRun> steps = new ArrayList<>(definition.steps().size());
            for (int number = 0; number < definition.steps().size(); number++) {
                steps.add(new StepRun(this, occurrence, number, definition.steps().get(number)));
            }
            occurrences.add(steps);
        }
    }

    int occurrenceCount() {
        return occurrences.size();
    }

    List<StepRun> steps(int occurrence) {
        return occurrences.get(occurrence);
    }

    /** The steps of all occurrences that are due at the given time. */
    List<StepRun> stepsDueBy(long epochMillis) {
        List<StepRun> due = new ArrayList<>();
        for (int occurrence = 0; occurrence < occurrences.size(); occurrence++) {
            if (definition.recurrence().dueEpochMillis(occurrence) > epochMillis) {
                break;
            }
            due.addAll(occurrences.get(occurrence));
        }
        return due;
    }

    /** Returns the task, or null if the job has no such task. */
    TrackedTask task(TaskRef ref) {
        if (ref.occurrence() >= occurrences.size()
                || ref.step() >= occurrences.get(ref.occurrence()).size()) {
            return null;
        }
        List<TrackedTask> tasks = occurrences.get(ref.occurrence()).get(ref.step()).tasks;
        return ref.index() < tasks.size() ? tasks.get(ref.index()) : null;
    }

    /** Whether all steps that this step depends on are done. */
    boolean isReady(StepRun step) {
        for (int earlier : step.definition.after()) {
            if (!occurrences.get(step.occurrence).get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean allDone() {
        return occurrences.stream().allMatch(steps -> steps.stream().allMatch(StepRun::isDone));
    }

    boolean hasStarted() {
        return occurrences.stream().anyMatch(steps -> steps.stream().anyMatch(StepRun::hasStarted));
    }

    void restore(JobProgress progress, long nowMillis) {
        phase = progress.phase();
        for (StepProgress step : progress.steps()) {
            if (step.occurrence() < occurrences.size()
                    && step.step() < occurrences.get(step.occurrence()).size()) {
                occurrences.get(step.occurrence()).get(step.step()).restore(step, nowMillis);
            }
        }
    }

    JobProgress progress() {
        List<StepProgress> steps = new ArrayList<>();
        if (!phase.isFinal()) {
            occurrences.stream()
                    .flatMap(List::stream)
                    .filter(StepRun::hasStarted)
                    .forEach(step -> steps.add(step.progress()));
        }
        return new JobProgress(definition.id(), phase, steps);
    }
}
