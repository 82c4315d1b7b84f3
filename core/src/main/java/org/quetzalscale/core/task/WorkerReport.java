package org.quetzalscale.core.task;

import java.util.List;

/**
 * A worker's answer to the renewal of its lease.
 *
 * @param clockMillis the worker's monotonic clock in milliseconds
 * @param startedEpochMillis start of the worker's incarnation in Unix milliseconds; 0 if unknown
 * @param finished runs that have ended and are not acknowledged, those with the lowest numbers
 * @param allFinished whether there are no others; if not, nothing is known of the runs that are in
 *     neither list
 */
public record WorkerReport(
        long clockMillis,
        long startedEpochMillis,
        List<RunningTask> running,
        List<FinishedRun> finished,
        boolean allFinished) {
    /** Copies the lists. */
    public WorkerReport {
        running = List.copyOf(running);
        finished = List.copyOf(finished);
    }

    /** A report with all runs that have ended. */
    public WorkerReport(
            long clockMillis,
            long startedEpochMillis,
            List<RunningTask> running,
            List<FinishedRun> finished) {
        this(clockMillis, startedEpochMillis, running, finished, true);
    }
}
