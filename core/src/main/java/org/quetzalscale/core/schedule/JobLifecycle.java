package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;

/** How tasks and jobs end, and which jobs have to be recorded. */
final class JobLifecycle {
    private static final long STOP_RETRY_MILLIS = 400;
    private static final long LASTING_RETRY_MILLIS = 100;
    private static final long MAX_LASTING_RETRY_MILLIS = 800;
    private static final int DEFAULT_MAX_ATTEMPTS = 3;

    private final FleetState fleet;
    private final OrderSender orders;
    private final RunTimeEstimator estimator;
    private final Supplier<FleetPolicy> policy;
    private final Set<JobRun> changed = new LinkedHashSet<>();

    JobLifecycle(
            FleetState fleet,
            OrderSender orders,
            RunTimeEstimator estimator,
            Supplier<FleetPolicy> policy) {
        this.fleet = fleet;
        this.orders = orders;
        this.estimator = estimator;
        this.policy = policy;
    }

    /** What is to be recorded since the last call. */
    List<JobProgress> takeChanged() {
        List<JobProgress> progress = new ArrayList<>(changed.size());
        changed.forEach(job -> progress.add(job.progress()));
        changed.clear();
        return progress;
    }

    boolean hasChanged() {
        return !changed.isEmpty();
    }

    /** The newest checkpoint of a run that ended. */
    void checkpoint(TrackedTask task, String text) {
        task.checkpoint = text;
        task.step.markBegun();
        changed.add(task.step.job);
    }

    /** Stops a run, so that the task can be placed anew. */
    void stop(TrackedTask task, long nowMillis) {
        task.enter(TrackedTask.State.STOPPING, nowMillis);
        task.stopSentMillis = nowMillis;
        task.stopAnsweredMillis = 0;
        orders.stop(task.worker, task.ref, task.run);
    }

    /** The run has ended, or never was; the task waits or, if its job ended, is dropped. */
    void release(TrackedTask task, long nowMillis) {
        fleet.vacate(task, nowMillis);
    }

    /** A run has ended well. */
    void succeeded(TrackedTask task, WorkerState worker, boolean currentRun, long nowMillis) {
        JobRun job = task.step.job;
        worker.failuresInRow = 0;
        if (currentRun) {
            estimator.observe(job.definition.queue(), nowMillis - task.sinceMillis);
        }
        List<TrackedTask> finished = task.step.definition.gang() ? task.step.tasks : List.of(task);
        for (TrackedTask member : finished) {
            finish(member, currentRun || member != task, nowMillis);
        }
        changed.add(job);
        if (!job.phase.isFinal() && job.allDone()) {
            end(job, JobPhase.COMPLETED, nowMillis);
        }
    }

    /** Marks a task done; a second run that may exist elsewhere is stopped. */
    private void finish(TrackedTask task, boolean ended, long nowMillis) {
        if (task.occupies()) {
            if (!ended) {
                orders.stop(task.worker, task.ref, task.run);
            }
            release(task, nowMillis);
        }
        task.step.markDone(task, nowMillis);
    }

    /** A run has failed; the job fails with the last attempt. */
    void failed(TrackedTask task, long run, WorkerState worker, long nowMillis) {
        JobRun job = task.step.job;
        boolean lasting = task.step.definition.lasting();
        if (!lasting && !task.failedRuns.add(run)) {
            return;
        }
        task.step.markBegun();
        task.failures++;
        task.lastFailedOn = worker.entry.id();
        worker.failuresInRow++;
        worker.lastFailureMillis = nowMillis;
        if (lasting) {
            long wait = LASTING_RETRY_MILLIS << Math.min(task.failures, 4);
            task.notBeforeMillis = nowMillis + Math.min(wait, MAX_LASTING_RETRY_MILLIS);
            return;
        }
        changed.add(job);
        QueuePolicy queue = policy.get().queues().get(job.definition.queue());
        int maxAttempts = queue == null ? DEFAULT_MAX_ATTEMPTS : queue.maxAttempts();
        if (task.failures >= maxAttempts && !job.phase.isFinal()) {
            end(job, JobPhase.FAILED, nowMillis);
        }
    }

    /** Ends a job; its tasks are stopped. */
    void end(JobRun job, JobPhase phase, long nowMillis) {
        job.phase = phase;
        fleet.deactivate(job);
        changed.add(job);
        for (int occurrence = 0; occurrence < job.occurrenceCount(); occurrence++) {
            for (StepRun step : job.steps(occurrence)) {
                for (TrackedTask task : step.tasks) {
                    endTask(task, nowMillis);
                }
            }
        }
    }

    private void endTask(TrackedTask task, long nowMillis) {
        if (task.state == TrackedTask.State.WAITING) {
            task.enter(TrackedTask.State.DROPPED, nowMillis);
        } else if (task.state == TrackedTask.State.ORDERED
                || task.state == TrackedTask.State.RUNNING) {
            stop(task, nowMillis);
        }
    }

    /** Sends stops again that were not answered. */
    void repeatStops(long nowMillis) {
        for (WorkerState worker : fleet.workers.values()) {
            for (TrackedTask task : worker.tasks.values()) {
                if (task.state == TrackedTask.State.STOPPING
                        && task.stopAnsweredMillis == 0
                        && nowMillis - task.stopSentMillis >= STOP_RETRY_MILLIS) {
                    task.stopSentMillis = nowMillis;
                    orders.stop(task.worker, task.ref, task.run);
                }
            }
        }
    }
}
