package org.quetzalscale.core.task;

import java.util.BitSet;
import java.util.Map;
import java.util.Set;

/**
 * What is recorded of a step.
 *
 * @param done indices of the tasks that ended well
 * @param failures the numbers of the failed runs by index, where there are any
 * @param checkpoints newest checkpoint by index, where there is one
 */
public record StepProgress(
        int occurrence,
        int step,
        BitSet done,
        Map<Integer, Set<Long>> failures,
        Map<Integer, String> checkpoints) {
    /** Copies the parts. */
    public StepProgress {
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        checkpoints = Map.copyOf(checkpoints);
    }
}
