package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerCalls;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

/**
 * A worker that follows the highest fence, and runs each started task until the test ends it. It
 * reports on the event loop of the owner, as the client of real workers does.
 */
final class FakeWorker implements WorkerCalls {
    private static final int ANSWER_MILLIS = 5;

    final List<StartOrder> starts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService loop;
    private final Map<TaskRef, Long> running = new LinkedHashMap<>();
    private final List<FinishedRun> finished = new ArrayList<>();
    private long fence;
    private long lastNumber;
    private long acknowledged;

    FakeWorker(ScheduledExecutorService loop) {
        this.loop = loop;
    }

    synchronized void end(TaskRef task, RunEnd how) {
        finished.add(new FinishedRun(++lastNumber, task, running.remove(task), how, ""));
    }

    synchronized int startsOf(TaskRef task) {
        return (int) starts.stream().filter(order -> order.task().equals(task)).count();
    }

    synchronized long acknowledged() {
        return acknowledged;
    }

    @Override
    public synchronized CompletionStage<OrderAnswer> start(
            WorkerEntry worker, StartOrder order, long leaseClockMillis, long token) {
        if (token < fence) {
            return CompletableFuture.completedFuture(OrderAnswer.FENCED);
        }
        starts.add(order);
        running.put(order.task(), order.run());
        return CompletableFuture.completedFuture(OrderAnswer.ACCEPTED);
    }

    @Override
    public synchronized CompletionStage<OrderAnswer> stop(
            WorkerEntry worker, TaskRef task, long run, long token) {
        if (running.containsKey(task)) {
            end(task, RunEnd.STOPPED);
        }
        return CompletableFuture.completedFuture(OrderAnswer.ACCEPTED);
    }

    @Override
    public CompletionStage<OrderAnswer> pace(
            WorkerEntry worker, TaskRef task, long run, int percent, long token) {
        return CompletableFuture.completedFuture(OrderAnswer.ACCEPTED);
    }

    @Override
    public synchronized CompletionStage<WorkerReport> renew(
            WorkerEntry worker, long leaseClockMillis, long number, int waitMillis, long token) {
        CompletableFuture<WorkerReport> reply = new CompletableFuture<>();
        if (token < fence) {
            reply.completeExceptionally(
                    new QuetzalscaleException(ErrorKind.LEASE_LOST, "a newer owner"));
            return reply;
        }
        fence = token;
        acknowledged = Math.max(acknowledged, number);
        loop.schedule(() -> reply.complete(report()), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        return reply;
    }

    private synchronized WorkerReport report() {
        List<RunningTask> tasks = new ArrayList<>();
        running.forEach((task, run) -> tasks.add(new RunningTask(task, run, "", 50, 0)));
        List<FinishedRun> unacknowledged =
                finished.stream().filter(end -> end.number() > acknowledged).toList();
        return new WorkerReport(System.nanoTime() / 1_000_000L, 1, tasks, unacknowledged);
    }
}
