package org.quetzalscale.core.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerReport;

/** Brings what the owner knows in line with the lists of a worker. */
final class WorkerReports {
    /** A worker lists at most this many ends at once; others are then missing from both lists. */
    private static final int MAX_LISTED_ENDS = 500;

    private final FleetState fleet;
    private final OrderSender orders;
    private final JobLifecycle jobs;

    WorkerReports(FleetState fleet, OrderSender orders, JobLifecycle jobs) {
        this.fleet = fleet;
        this.orders = orders;
        this.jobs = jobs;
    }

    /**
     * Takes a worker's lists.
     *
     * @param ends the ends that were not listed before
     * @param sentMillis when the call was sent that the worker answered
     */
    void take(
            WorkerState worker,
            WorkerReport report,
            List<FinishedRun> ends,
            long sentMillis,
            long nowMillis) {
        worker.strays.clear();
        Set<TaskRef> listed = new HashSet<>();
        for (FinishedRun end : ends) {
            listed.add(end.task());
            ended(worker, end, nowMillis);
        }
        for (RunningTask running : report.running()) {
            listed.add(running.task());
            running(worker, running, nowMillis);
        }
        if (report.finished().size() < MAX_LISTED_ENDS) {
            releaseMissing(worker, listed, sentMillis, nowMillis);
        }
    }

    private void ended(WorkerState worker, FinishedRun end, long nowMillis) {
        TrackedTask task = fleet.task(end.task());
        if (task == null || task.state == TrackedTask.State.DONE) {
            return;
        }
        boolean current = task.occupies() && worker.entry.id().equals(task.worker);
        if (end.end() == RunEnd.DONE) {
            jobs.succeeded(task, worker, current && task.run == end.run(), nowMillis);
            return;
        }
        if (current && task.run > end.run()) {
            return;
        }
        if (current) {
            jobs.release(task, nowMillis);
        }
        task.run = Math.max(task.run, end.run());
        if (!end.checkpoint().isEmpty()) {
            jobs.checkpoint(task, end.checkpoint());
        }
        if (end.end() == RunEnd.FAILED) {
            jobs.failed(task, end.run(), worker, nowMillis);
        }
    }

    private void running(WorkerState worker, RunningTask running, long nowMillis) {
        TrackedTask task = fleet.task(running.task());
        boolean here = task != null && worker.entry.id().equals(task.worker);
        if (here && task.run == running.run()) {
            if (task.state == TrackedTask.State.ORDERED) {
                task.enter(TrackedTask.State.RUNNING, nowMillis);
            }
            observe(task, running, nowMillis);
            return;
        }
        if (task != null && task.state == TrackedTask.State.WAITING && running.run() >= task.run) {
            adopt(task, worker, running, nowMillis);
            return;
        }
        worker.strays.put(
                running, task == null ? worker.entry.capacity() : task.step.definition.reserved());
        orders.stop(worker.entry.id(), running.task(), running.run());
    }

    /** Takes over a run that an earlier owner started, or one whose order was late. */
    private void adopt(TrackedTask task, WorkerState worker, RunningTask running, long nowMillis) {
        task.run = running.run();
        task.step.markBegun();
        fleet.occupy(task, worker, TrackedTask.State.RUNNING, nowMillis);
        observe(task, running, nowMillis);
    }

    private static void observe(TrackedTask task, RunningTask running, long nowMillis) {
        if (running.percent() != task.percent) {
            task.percent = running.percent();
            task.progressedMillis = nowMillis;
        }
        task.load = running.load();
        if (!running.checkpoint().isEmpty()) {
            task.checkpoint = running.checkpoint();
        }
    }

    private void releaseMissing(
            WorkerState worker, Set<TaskRef> listed, long sentMillis, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (listed.contains(task.ref)) {
                continue;
            }
            boolean confirmedBefore =
                    task.state == TrackedTask.State.RUNNING && task.sinceMillis < sentMillis;
            boolean stoppedBefore =
                    task.state == TrackedTask.State.STOPPING
                            && task.stopAnsweredMillis != 0
                            && task.stopAnsweredMillis < sentMillis;
            if (confirmedBefore || stoppedBefore) {
                jobs.release(task, nowMillis);
            }
        }
    }
}
