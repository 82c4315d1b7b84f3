package org.quetzalscale.core.task;

import java.util.List;

/**
 * A worker's answer to the renewal of its lease.
 *
 * @param clockMillis the worker's monotonic clock in milliseconds
 * @param startedEpochMillis start of the worker's incarnation in Unix milliseconds; 0 if unknown
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
