package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.RunningTask;

/** Handles the ends of tasks and jobs, and collects the jobs whose progress has to be recorded. */
final class JobLifecycle {
    private static final long STOP_RETRY_MILLIS = 400;
    private static final long LASTING_RETRY_MILLIS = 100;
    private static final long MAX_LASTING_RETRY_MILLIS = 800;

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

    /** Returns the progress of all jobs that changed since the last call. */
    List<JobProgress> takeChangedJobs() {
        List<JobProgress> progress = new ArrayList<>(changed.size());
        changed.forEach(job -> progress.add(job.progress()));
        changed.clear();
        return progress;
    }

    boolean hasChangedJobs() {
        return !changed.isEmpty();
    }

    /** Stores the newest checkpoint of a run that ended. */
    void recordCheckpoint(TrackedTask task, String text) {
        task.checkpoint = text;
        task.step.markStarted();
        changed.add(task.step.job);
    }

    /** Counts a run whose worker crashed. */
    void recordCrash(TrackedTask task) {
        task.addCrashedRun(task.run);
        task.step.markStarted();
        changed.add(task.step.job);
    }

    /**
     * Handles a start that was not answered. A lasting task may be at work by then, and a stop
     * would exceed the budget of its step, so the next report tells whether it runs: the worker
     * rejects the start once it has accepted the renewal, which has a higher fencing token.
     */
    void handleUnansweredStart(TrackedTask task, long nowMillis) {
        if (task.step.definition.lasting()) {
            task.unansweredMillis = nowMillis;
        } else {
            stop(task, nowMillis);
        }
    }

    /** Stops a run, so that the task can be placed again. */
    void stop(TrackedTask task, long nowMillis) {
        task.transitionTo(TrackedTask.State.STOPPING, nowMillis);
        task.stopSentMillis = nowMillis;
        task.stopAnsweredMillis = 0;
        orders.stop(task.worker, task.ref, task.run);
    }

    /**
     * Releases a task whose run has ended or never started. The task waits again or, if its job has
     * ended, is dropped.
     */
    void release(TrackedTask task, long nowMillis) {
        fleet.unassign(task, nowMillis);
    }

    /** Handles the successful end of a run. */
    void handleSuccess(TrackedTask task, WorkerState worker, boolean currentRun, long nowMillis) {
        JobRun job = task.step.job;
        worker.health.recordSuccess();
        if (currentRun) {
            estimator.observe(job.definition.queue(), nowMillis - task.stateSinceMillis);
        }
        List<TrackedTask> finished = task.step.definition.gang() ? task.step.tasks : List.of(task);
        for (TrackedTask member : finished) {
            markDone(member, currentRun || member != task, nowMillis);
        }
        changed.add(job);
        job.occurrences.closeIfDone(task.step.occurrence);
        if (!job.phase.isFinal() && job.allDone()) {
            endJob(job, JobPhase.COMPLETED, nowMillis);
        }
    }

    /**
     * Marks a task as done and stops another run of it that may still exist.
     *
     * @param runEnded whether the current run of the task is known to have ended
     */
    private void markDone(TrackedTask task, boolean runEnded, long nowMillis) {
        if (task.isAssigned()) {
            if (!runEnded) {
                stopOrphan(task);
            }
            release(task, nowMillis);
        }
        task.step.markDone(task, nowMillis);
    }

    /** Stops the current run of a task that needs it no more. It uses its resources until then. */
    private void stopOrphan(TrackedTask task) {
        WorkerState worker = fleet.workers.get(task.worker);
        if (worker != null) {
            int percent = task.progress.percent();
            RunningTask run = new RunningTask(task.ref, task.run, task.checkpoint, percent, 0);
            worker.orphanedRuns.put(run, task.step.definition.reserved());
        }
        orders.stop(task.worker, task.ref, task.run);
    }

    /** Handles a failed run. The job fails with its last permitted attempt. */
    void handleFailure(TrackedTask task, FailedRun run, WorkerState worker, long nowMillis) {
        JobRun job = task.step.job;
        boolean lasting = task.step.definition.lasting();
        if (!lasting && !task.addFailedRun(run.number())) {
            return;
        }
        task.step.markStarted();
        task.failures++;
        task.lastFailedOn = worker.entry.id();
        if (!run.served()) {
            task.step.recordFailureOn(worker.entry.id(), run.durationMillis());
            worker.health.recordFailure(task, nowMillis);
        }
        if (lasting) {
            pauseBeforeRestart(task, nowMillis);
            return;
        }
        changed.add(job);
        int maxAttempts = policy.get().queueOf(job.definition).maxAttempts();
        if (task.failures >= maxAttempts && !job.phase.isFinal()) {
            endJob(job, JobPhase.FAILED, nowMillis);
        }
    }

    /** Handles a lasting task that ended as done: it starts again like one that failed. */
    void handleLastingEnd(TrackedTask task, long nowMillis) {
        task.step.markStarted();
        task.failures++;
        pauseBeforeRestart(task, nowMillis);
    }

    private static void pauseBeforeRestart(TrackedTask task, long nowMillis) {
        long wait = LASTING_RETRY_MILLIS << Math.min(task.failures, 4);
        task.retryAtMillis = nowMillis + Math.min(wait, MAX_LASTING_RETRY_MILLIS);
    }

    /** Ends a job and stops its tasks. */
    void endJob(JobRun job, JobPhase phase, long nowMillis) {
        job.phase = phase;
        fleet.deactivate(job);
        changed.add(job);
        for (int occurrence : List.copyOf(job.occurrences.open().keySet())) {
            for (StepRun step : job.steps(occurrence)) {
                for (TrackedTask task : step.tasks) {
                    endTask(task, nowMillis);
                }
            }
            job.occurrences.closeIfIdle(occurrence);
        }
    }

    private void endTask(TrackedTask task, long nowMillis) {
        if (task.state == TrackedTask.State.WAITING) {
            task.transitionTo(TrackedTask.State.DROPPED, nowMillis);
        } else if (task.state == TrackedTask.State.STARTING
                || task.state == TrackedTask.State.RUNNING) {
            stop(task, nowMillis);
        }
    }

    /** Resends the stops of tasks that were not answered. */
    void resendStops(long nowMillis) {
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
