package org.quetzalscale.core.schedule;

import java.util.List;

/** Handles new incarnations of workers, which run nothing that the previous one ran. */
final class WorkerIncarnations {
    private final JobLifecycle jobs;
    private final CrashAttribution crashAttribution;
    private final UnansweredStarts unansweredStarts;

    WorkerIncarnations(
            JobLifecycle jobs,
            CrashAttribution crashAttribution,
            UnansweredStarts unansweredStarts) {
        this.jobs = jobs;
        this.crashAttribution = crashAttribution;
        this.unansweredStarts = unansweredStarts;
    }

    /**
     * Handles an entry with a new incarnation of the worker. Tasks are not released here: a start
     * may have reached the new incarnation before its entry was read, so only the worker's own
     * report tells what runs.
     */
    void handleRegistered(WorkerState worker, long startedEpochMillis, long nowMillis) {
        if (worker.startedEpochMillis == 0) {
            worker.startedEpochMillis = startedEpochMillis;
        } else if (startedEpochMillis > worker.startedEpochMillis) {
            worker.heardMillis = nowMillis;
            worker.leftAsPlanned |= worker.entry.draining();
            worker.forgetReports();
            unansweredStarts.stopAll(worker.entry.id(), nowMillis);
        }
    }

    /**
     * Handles a report of a new incarnation, which runs nothing that the previous one ran. A start
     * that was accepted after the report was requested may run in the new incarnation, so it is
     * stopped first.
     */
    void handleReported(
            WorkerState worker, long startedEpochMillis, long sentMillis, long nowMillis) {
        if (startedEpochMillis <= worker.startedEpochMillis) {
            return;
        }
        boolean known = worker.startedEpochMillis != 0;
        worker.startedEpochMillis = startedEpochMillis;
        if (!known) {
            return;
        }
        worker.forgetReports();
        worker.health.reset();
        crashAttribution.recordCrash(worker, nowMillis);
        worker.leftAsPlanned = false;
        unansweredStarts.stopAll(worker.entry.id(), nowMillis);
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (task.state != TrackedTask.State.RUNNING) {
                continue;
            }
            if (task.stateSinceMillis < sentMillis) {
                jobs.release(task, nowMillis);
            } else {
                jobs.stop(task, nowMillis);
            }
        }
    }
}
