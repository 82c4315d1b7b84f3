package org.quetzalscale.daemon.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerCalls;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

/**
 * Calls to workers whose orders are sent while an {@link OrderGate} is open. Renewals always are:
 * they start nothing, and their answers tell of a newer owner. They extend no lease while the term
 * is not valid.
 */
record GatedWorkerCalls(WorkerCalls calls, OrderGate gate) implements WorkerCalls {
    @Override
    public CompletionStage<OrderAnswer> start(
            WorkerEntry worker, StartOrder order, long leaseClockMillis, long fence) {
        return gate.isOpen()
                ? calls.start(worker, order, leaseClockMillis, fence)
                : CompletableFuture.completedFuture(OrderAnswer.NOT_SENT);
    }

    @Override
    public CompletionStage<OrderAnswer> stop(
            WorkerEntry worker, TaskRef task, long run, long fence) {
        return gate.isOpen()
                ? calls.stop(worker, task, run, fence)
                : CompletableFuture.completedFuture(OrderAnswer.NOT_SENT);
    }

    @Override
    public CompletionStage<OrderAnswer> pace(
            WorkerEntry worker, TaskRef task, long run, int percent, long fence) {
        return gate.isOpen()
                ? calls.pace(worker, task, run, percent, fence)
                : CompletableFuture.completedFuture(OrderAnswer.NOT_SENT);
    }

    @Override
    public CompletionStage<WorkerReport> renew(
            WorkerEntry worker,
            long leaseClockMillis,
            long acknowledged,
            int waitMillis,
            long fence) {
        long permittedMillis = gate.permitsLeaseExtension() ? leaseClockMillis : 0;
        return calls.renew(worker, permittedMillis, acknowledged, waitMillis, fence);
    }
}
