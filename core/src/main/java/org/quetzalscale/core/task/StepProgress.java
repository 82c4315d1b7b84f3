package org.quetzalscale.core.task;

import java.util.BitSet;
import java.util.Map;
import java.util.Set;

/**
 * The recorded progress of a step.
 *
 * @param done indices of the tasks that succeeded
 * @param failures numbers of the failed runs by task index; only tasks with failures have an entry
 * @param crashes numbers of the runs whose workers crashed, by task index; only tasks with such
 *     runs have an entry
 * @param checkpoints newest checkpoint by task index; only tasks with a checkpoint have an entry
 */
public record StepProgress(
        int occurrence,
        int step,
        BitSet done,
        Map<Integer, Set<Long>> failures,
        Map<Integer, Set<Long>> crashes,
        Map<Integer, String> checkpoints) {
    /** Copies the collections. */
    public StepProgress {
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        crashes = Map.copyOf(crashes);
        checkpoints = Map.copyOf(checkpoints);
    }
}
