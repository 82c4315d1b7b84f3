package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.share.Resources;

/**
 * A step of a job: tasks of the same form that may run side by side.
 *
 * @param count number of tasks
 * @param need what each task takes of its worker
 * @param estimateMillis the submitter's rough estimate of a task's run time
 * @param after numbers of the steps whose tasks must all have ended well before
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks work only all together
 * @param rackLocal whether a gang slows down on more than one rack
 * @param requiredLabel a label that the worker must have
 * @param dataRack the rack on which the step's data is
 * @param maxPerWorker most tasks of the step on one worker; 0 for no limit
 * @param lasting whether the tasks run until the job is cancelled
 * @param targetMillis limit of the response-time tail of a lasting task; 0 for none
 * @param filler whether the tasks use the processors that others leave, outside the capacity
 * @param maxUnavailable most lasting tasks of the step that the system may make unavailable at the
 *     same time; 0 for no such budget
 */
public record StepDefinition(
        int count,
        Resources need,
        long estimateMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean rackLocal,
        Optional<String> requiredLabel,
        Optional<String> dataRack,
        int maxPerWorker,
        boolean lasting,
        long targetMillis,
        boolean filler,
        int maxUnavailable) {
    /** Copies the list. */
    public StepDefinition {
        Objects.requireNonNull(need, "need");
        after = List.copyOf(after);
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        Objects.requireNonNull(dataRack, "dataRack");
    }

    /** What each task takes of its worker's capacity; a filler takes no processors of it. */
    public Resources reserved() {
        return filler
                ? new Resources(0, need.memoryMib(), need.accelerators(), need.slots())
                : need;
    }

    /** The processor seconds of all tasks by the submitter's estimate. */
    public double estimatedCoreSeconds() {
        return count * need.cores() * estimateMillis / 1_000.0;
    }
}
