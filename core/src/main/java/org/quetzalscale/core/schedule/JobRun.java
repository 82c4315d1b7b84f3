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
    /** The job; without the text for workers once it has ended. */
    JobDefinition definition;

    /** When the job was accepted, on the owner's monotonic clock in milliseconds. */
    final long acceptedMillis;

    final JobOccurrences occurrences;

    JobPhase phase = JobPhase.QUEUED;

    /** Whether starts are suspended, because the runs of an earlier owner are not all known. */
    boolean held;

    /**
     * Whether starts are suspended because the recorded progress cannot be read, so that tasks that
     * seem to wait may have run.
     */
    boolean progressUnreadable;

    JobRun(JobDefinition definition, long acceptedMillis, OpenTasks openTasks) {
        this.definition = definition;
        this.acceptedMillis = acceptedMillis;
        this.occurrences = new JobOccurrences(this, openTasks);
    }

    /** The steps of an open occurrence. */
    List<StepRun> steps(int occurrence) {
        return occurrences.steps(occurrence);
    }

    /** The steps of all open occurrences that are due at the given time. */
    List<StepRun> stepsDueBy(long epochMillis) {
        List<StepRun> due = new ArrayList<>();
        occurrences
                .open()
                .forEach(
                        (occurrence, steps) -> {
                            if (isDueBy(occurrence, epochMillis)) {
                                due.addAll(steps);
                            }
                        });
        return due;
    }

    boolean isDueBy(int occurrence, long epochMillis) {
        return definition.recurrence().dueEpochMillis(occurrence) <= epochMillis;
    }

    /** Returns the task, or null if the job has no such task or it needs no more runs. */
    TrackedTask task(TaskRef ref) {
        return occurrences.task(ref);
    }

    /** Whether all steps that this step depends on are done. */
    boolean isReady(StepRun step) {
        for (int earlier : step.definition.after()) {
            if (!steps(step.occurrence).get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean allDone() {
        return occurrences.allDone();
    }

    boolean hasStarted() {
        return occurrences.hasStarted();
    }

    void restore(JobProgress progress, long nowMillis) {
        phase = progress.phase();
        occurrences.restoreDone(progress.doneOccurrences());
        for (StepProgress recorded : progress.steps()) {
            StepRun step = occurrences.recordedStep(recorded.occurrence(), recorded.step());
            if (step != null) {
                step.restore(recorded, nowMillis);
            }
        }
        progress.steps().forEach(step -> occurrences.closeIfDone(step.occurrence()));
    }

    JobProgress progress() {
        if (phase.isFinal()) {
            return new JobProgress(definition.id(), phase, List.of());
        }
        List<StepProgress> steps = new ArrayList<>();
        occurrences.open().values().stream()
                .flatMap(List::stream)
                .filter(StepRun::hasStarted)
                .forEach(step -> steps.add(step.progress()));
        return new JobProgress(definition.id(), phase, occurrences.done(), steps);
    }
}
