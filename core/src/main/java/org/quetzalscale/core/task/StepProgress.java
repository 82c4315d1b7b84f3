package org.quetzalscale.core.task;

import java.util.BitSet;
import java.util.Map;

/**
 * What is recorded of a step.
 *
 * @param done indices of the tasks that ended well
 * @param failures the failed runs by index, where there are any
 * @param checkpoints newest checkpoint by index, where there is one
 */
public record StepProgress(
        int occurrence,
        int step,
        BitSet done,
        Map<Integer, Failures> failures,
        Map<Integer, String> checkpoints) {
    /**
     * The failed runs of a task.
     *
     * @param lastRun the newest one that is counted; a worker may list its end again
     */
    public record Failures(int count, long lastRun) {}

    /** Copies the parts. */
    public StepProgress {
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        checkpoints = Map.copyOf(checkpoints);
    }
}
