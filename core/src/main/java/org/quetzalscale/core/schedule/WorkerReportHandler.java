package org.quetzalscale.core.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerReport;

/** Updates tasks and runs from the reports of workers. */
final class WorkerReportHandler {
    private final FleetState fleet;
    private final OrderSender orders;
    private final JobLifecycle jobs;

    WorkerReportHandler(FleetState fleet, OrderSender orders, JobLifecycle jobs) {
        this.fleet = fleet;
        this.orders = orders;
        this.jobs = jobs;
    }

    /**
     * Applies a worker's report.
     *
     * @param ends ended runs that were not in an earlier report
     * @param sentMillis when the call that returned the report was sent
     */
    void apply(
            WorkerState worker,
            WorkerReport report,
            List<FinishedRun> ends,
            long sentMillis,
            long nowMillis) {
        worker.orphanedRuns.clear();
        Set<TaskRef> reportedTasks = new HashSet<>();
        for (FinishedRun end : ends) {
            reportedTasks.add(end.task());
            applyEnd(worker, end, nowMillis);
        }
        for (RunningTask running : report.running()) {
            reportedTasks.add(running.task());
            applyRunning(worker, running, nowMillis);
        }
        if (report.allFinished()) {
            releaseMissing(worker, reportedTasks, sentMillis, nowMillis);
        }
    }

    private void applyEnd(WorkerState worker, FinishedRun end, long nowMillis) {
        TrackedTask task = fleet.task(end.task());
        if (task == null || task.state == TrackedTask.State.DONE) {
            return;
        }
        boolean current = task.isAssigned() && worker.entry.id().equals(task.worker);
        boolean lasting = task.step.definition.lasting();
        if (end.end() == RunEnd.DONE && !lasting) {
            jobs.handleSuccess(task, worker, current && task.run == end.run(), nowMillis);
            return;
        }
        if (current && task.run > end.run()) {
            return;
        }
        FailedRun failedRun = FailedRun.of(task, end.run(), current, nowMillis);
        if (current) {
            jobs.release(task, nowMillis);
        }
        task.run = Math.max(task.run, end.run());
        if (!end.checkpoint().isEmpty()) {
            jobs.recordCheckpoint(task, end.checkpoint());
        }
        if (end.end() == RunEnd.FAILED) {
            jobs.handleFailure(task, failedRun, worker, nowMillis);
        } else if (end.end() == RunEnd.DONE) {
            jobs.handleLastingEnd(task, nowMillis);
        }
    }

    private void applyRunning(WorkerState worker, RunningTask running, long nowMillis) {
        TrackedTask task = fleet.task(running.task());
        boolean here = task != null && worker.entry.id().equals(task.worker);
        if (here && task.run == running.run()) {
            if (task.state == TrackedTask.State.STARTING) {
                task.transitionTo(TrackedTask.State.RUNNING, nowMillis);
            }
            updateProgress(task, worker, running, nowMillis);
            return;
        }
        if (task != null && task.state == TrackedTask.State.WAITING && running.run() >= task.run) {
            adopt(task, worker, running, nowMillis);
            return;
        }
        worker.orphanedRuns.put(
                running, fleet.reservedBy(running.task()).orElseGet(worker.entry::capacity));
        orders.stop(worker.entry.id(), running.task(), running.run());
    }

    /** Adopts a run that an earlier owner started, or whose start was carried out late. */
    private void adopt(TrackedTask task, WorkerState worker, RunningTask running, long nowMillis) {
        task.run = running.run();
        task.step.markStarted();
        fleet.assign(task, worker, TrackedTask.State.RUNNING, nowMillis);
        updateProgress(task, worker, running, nowMillis);
    }

    private static void updateProgress(
            TrackedTask task, WorkerState worker, RunningTask running, long nowMillis) {
        if (task.progress.observe(running.percent(), nowMillis)) {
            task.step.recordPace(task.progress);
            if (task.isShownHarmless()) {
                task.stalledRuns = 0;
                worker.health.recordSuccess();
            }
        }
        task.load = running.load();
        if (!running.checkpoint().isEmpty() && !running.checkpoint().equals(task.checkpoint)) {
            task.checkpoint = running.checkpoint();
            task.progress.observeCheckpoint(nowMillis);
        }
    }

    private void releaseMissing(
            WorkerState worker, Set<TaskRef> reportedTasks, long sentMillis, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (reportedTasks.contains(task.ref)) {
                continue;
            }
            boolean confirmedBefore =
                    task.state == TrackedTask.State.RUNNING && task.stateSinceMillis < sentMillis;
            boolean stoppedBefore =
                    task.state == TrackedTask.State.STOPPING
                            && task.stopAnsweredMillis != 0
                            && task.stopAnsweredMillis < sentMillis;
            boolean neverStarted =
                    task.state == TrackedTask.State.STARTING
                            && task.unansweredMillis != 0
                            && task.unansweredMillis < sentMillis;
            if (confirmedBefore || stoppedBefore || neverStarted) {
                jobs.release(task, nowMillis);
            }
        }
    }
}
