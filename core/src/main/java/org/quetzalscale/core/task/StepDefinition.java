package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.share.Resources;

/**
 * A step of a job: a number of identical tasks that may run in parallel.
 *
 * @param count number of tasks
 * @param need resources that each task uses
 * @param estimateMillis the submitter's rough estimate of a task's run time
 * @param after numbers of the steps that must be done before this one starts
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks only work if all of them run at the same time
 * @param rackLocal whether a gang runs slower if it spans several racks
 * @param requiredLabel label that the worker must have
 * @param dataRack rack that stores the step's data
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param lasting whether the tasks are services that run until the job is cancelled
 * @param targetMillis limit of a lasting task's response-time tail; 0 for none
 * @param filler whether the tasks run on processor time that other tasks leave unused and reserve
 *     none
 * @param maxUnavailable maximum number of the step's lasting tasks that the system may make
 *     unavailable at the same time; 0 for no limit
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
    /** Rejects null components and copies the list. */
    public StepDefinition {
        Objects.requireNonNull(need, "need");
        after = List.copyOf(after);
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        Objects.requireNonNull(dataRack, "dataRack");
    }

    /**
     * The part of the worker's capacity that each task reserves. A filler reserves no processors.
     */
    public Resources reserved() {
        return filler
                ? new Resources(0, need.memoryMib(), need.accelerators(), need.slots())
                : need;
    }

    /** The processor time of all tasks in core seconds, based on the submitter's estimate. */
    public double estimatedCoreSeconds() {
        return count * need.cores() * estimateMillis / 1_000.0;
    }
}
