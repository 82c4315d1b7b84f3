package org.quetzalscale.core.task;

import java.util.List;

/**
 * What a worker answers to the renewal of its lease.
 *
 * @param clockMillis the worker's steady clock
 * @param startedEpochMillis start of the incarnation, Unix milliseconds; 0 if not told
 */
public record WorkerReport(
        long clockMillis,
        long startedEpochMillis,
        List<RunningTask> running,
        List<FinishedRun> finished) {
    /** Copies the lists. */
    public WorkerReport {
        running = List.copyOf(running);
        finished = List.copyOf(finished);
    }
}
