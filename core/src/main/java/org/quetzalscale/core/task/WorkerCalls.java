package org.quetzalscale.core.task;

import java.util.concurrent.CompletionStage;

/**
 * Calls to workers. Stages of orders never fail: a missing answer is {@link OrderAnswer#UNKNOWN}.
 */
public interface WorkerCalls {
    /**
     * Orders a start.
     *
     * @param leaseClockMillis end of the worker's lease, on the worker's clock
     * @param fence rises with each owner of the worker's pool
     */
    CompletionStage<OrderAnswer> start(
            WorkerEntry worker, StartOrder order, long leaseClockMillis, long fence);

    /** Orders a stop; the run may go on for a moment, and never starts after an answer. */
    CompletionStage<OrderAnswer> stop(WorkerEntry worker, TaskRef task, long run, long fence);

    /** Limits the processor share of a task, in percent. */
    CompletionStage<OrderAnswer> pace(
            WorkerEntry worker, TaskRef task, long run, int percent, long fence);

    /**
     * Extends the lease and reads the lists. The stage fails if there is no whole answer.
     *
     * @param leaseClockMillis new end of the lease on the worker's clock; 0 leaves it as it is
     * @param acknowledged ends up to this number are recorded and need not be listed again
     * @param waitMillis how long the worker may wait for an end before it answers
     * @throws org.quetzalscale.core.error.QuetzalscaleException through the stage: LEASE_LOST if
     *     the worker follows a newer owner, TARGET_UNREACHABLE if no connection could be opened
     */
    CompletionStage<WorkerReport> renew(
            WorkerEntry worker,
            long leaseClockMillis,
            long acknowledged,
            int waitMillis,
            long fence);
}
