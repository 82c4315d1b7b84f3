package org.quetzalscale.core.task;

import java.util.concurrent.CompletionStage;

/**
 * Remote calls to workers. The stages of start, stop and pace never fail: a missing answer is
 * reported as {@link OrderAnswer#UNKNOWN}.
 */
public interface WorkerCalls {
    /**
     * Orders a worker to start a run.
     *
     * @param leaseClockMillis end of the worker's lease on the worker's clock
     * @param fence fencing token, which increases with each owner of the worker's pool
     */
    CompletionStage<OrderAnswer> start(
            WorkerEntry worker, StartOrder order, long leaseClockMillis, long fence);

    /**
     * Orders a worker to stop a run. The run may continue for a short time, but never starts after
     * an answer.
     */
    CompletionStage<OrderAnswer> stop(WorkerEntry worker, TaskRef task, long run, long fence);

    /** Limits the processor share of a task, in percent. */
    CompletionStage<OrderAnswer> pace(
            WorkerEntry worker, TaskRef task, long run, int percent, long fence);

    /**
     * Extends the worker's lease and reads its report. The stage fails if no complete answer is
     * received.
     *
     * @param leaseClockMillis new end of the lease on the worker's clock; 0 leaves it unchanged
     * @param acknowledged number of the last end that is recorded; ends up to it need not be
     *     reported again
     * @param waitMillis how long the worker may wait for a run to end before it answers
     * @throws org.quetzalscale.core.error.QuetzalscaleException through the stage: LEASE_LOST if
     *     the worker has a newer owner, TARGET_UNREACHABLE if no connection could be opened
     */
    CompletionStage<WorkerReport> renew(
            WorkerEntry worker,
            long leaseClockMillis,
            long acknowledged,
            int waitMillis,
            long fence);
}
