package org.quetzalscale.core.schedule;

import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.TaskRef;

/** Updates tasks from the answers of workers to starts and stops. */
final class OrderAnswers {
    private static final long AVOID_AFTER_REJECTION_MILLIS = 300;

    private final FleetState fleet;
    private final JobLifecycle jobs;
    private final UnansweredStarts unansweredStarts;

    OrderAnswers(FleetState fleet, JobLifecycle jobs, UnansweredStarts unansweredStarts) {
        this.fleet = fleet;
        this.jobs = jobs;
        this.unansweredStarts = unansweredStarts;
    }

    void startAnswered(WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        if (answer != OrderAnswer.UNKNOWN) {
            unansweredStarts.recordAnswer(id, ref, run);
        }
        WorkerState worker = fleet.workers.get(id);
        if (worker != null && answer == OrderAnswer.ACCEPTED) {
            worker.heardMillis = nowMillis;
        }
        TrackedTask task = fleet.task(ref);
        if (task == null || task.run != run || !id.equals(task.worker)) {
            return;
        }
        if (answer == OrderAnswer.ACCEPTED) {
            if (task.state == TrackedTask.State.STARTING) {
                task.transitionTo(TrackedTask.State.RUNNING, nowMillis);
            }
            return;
        }
        if (answer == OrderAnswer.UNKNOWN) {
            if (task.state == TrackedTask.State.STARTING) {
                jobs.handleUnansweredStart(task, nowMillis);
            }
            return;
        }
        if (worker != null && answer != OrderAnswer.OLD_RUN) {
            worker.avoidUntilMillis = nowMillis + AVOID_AFTER_REJECTION_MILLIS;
        }
        if (task.state == TrackedTask.State.STARTING || task.state == TrackedTask.State.STOPPING) {
            jobs.release(task, nowMillis);
        }
    }

    void stopAnswered(WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        if (answer == OrderAnswer.ACCEPTED) {
            unansweredStarts.recordStopAnswer(id, ref, run);
        }
        TrackedTask task = fleet.task(ref);
        if (task != null
                && task.run == run
                && id.equals(task.worker)
                && task.state == TrackedTask.State.STOPPING
                && answer == OrderAnswer.ACCEPTED) {
            task.stopAnsweredMillis = nowMillis;
        }
    }
}
