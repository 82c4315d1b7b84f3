package org.quetzalscale.core.task;

import java.util.BitSet;
import java.util.HashMap;
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
    /** Copies the collections, and those in them. */
    public StepProgress {
        done = (BitSet) done.clone();
        failures = copy(failures);
        crashes = copy(crashes);
        checkpoints = Map.copyOf(checkpoints);
    }

    private static Map<Integer, Set<Long>> copy(Map<Integer, Set<Long>> runs) {
        Map<Integer, Set<Long>> copy = new HashMap<>();
        runs.forEach((index, numbers) -> copy.put(index, Set.copyOf(numbers)));
        return Map.copyOf(copy);
    }
}
