package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StartOrder;

/**
 * Starts waiting tasks in the order of {@link StepRanking}, on the workers that {@link Placement}
 * chooses.
 */
final class Dispatcher {
    private final FleetState fleet;
    private final OrderSender orders;
    private final UnansweredStarts unansweredStarts;
    private final StepRanking ranking;
    private final ExcessRanking excessRanking;

    /** Every run number of this owner is greater than this one. */
    private final long runBase;

    Dispatcher(
            FleetState fleet,
            OrderSender orders,
            UnansweredStarts unansweredStarts,
            StepRanking ranking,
            ExcessRanking excessRanking,
            long runBase) {
        this.fleet = fleet;
        this.orders = orders;
        this.unansweredStarts = unansweredStarts;
        this.ranking = ranking;
        this.excessRanking = excessRanking;
        this.runBase = runBase;
    }

    /**
     * Sends the starts of all tasks that can be placed now.
     *
     * @param epochMillis wall clock in Unix milliseconds, for jobs with due times
     */
    void dispatch(FleetPolicy policy, long nowMillis, long epochMillis) {
        for (PoolId pool : fleet.activePools()) {
            List<StepRanking.Candidate> candidates =
                    excessRanking.apply(candidates(pool, policy, nowMillis, epochMillis), policy);
            candidates.sort(StepRanking.DISPATCH_ORDER);
            for (StepRanking.Candidate candidate : candidates) {
                startTasks(candidate.step(), pool, policy, nowMillis);
            }
        }
    }

    private List<StepRanking.Candidate> candidates(
            PoolId pool, FleetPolicy policy, long nowMillis, long epochMillis) {
        List<StepRanking.Candidate> found = new ArrayList<>();
        for (JobRun job : fleet.activeJobs(pool)) {
            if (job.held || job.progressUnreadable) {
                continue;
            }
            QueuePolicy queue = policy.queues().get(job.definition.queue());
            Recurrence recurrence = job.definition.recurrence();
            for (int occurrence = 0; occurrence < job.occurrenceCount(); occurrence++) {
                long dueIn = Math.max(0, recurrence.dueEpochMillis(occurrence) - epochMillis);
                if (dueIn > 0) {
                    break;
                }
                long due = recurrence.count() == 0 ? job.acceptedMillis : nowMillis;
                for (StepRun step : job.steps(occurrence)) {
                    if (hasStartableTask(step, nowMillis) && job.isReady(step)) {
                        found.add(ranking.candidate(step, queue, due, nowMillis));
                    }
                }
            }
        }
        return found;
    }

    private static boolean hasStartableTask(StepRun step, long nowMillis) {
        for (TrackedTask task : step.tasks) {
            if (canStart(task, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private static boolean canStart(TrackedTask task, long nowMillis) {
        return task.state == TrackedTask.State.WAITING && nowMillis >= task.retryAtMillis;
    }

    private void startTasks(StepRun step, PoolId pool, FleetPolicy policy, long nowMillis) {
        if (step.definition.gang()) {
            startGang(step, pool, policy, nowMillis);
            return;
        }
        for (TrackedTask task : step.tasks) {
            if (!canStart(task, nowMillis)) {
                continue;
            }
            if (!placeTask(task, pool, policy, nowMillis)) {
                return;
            }
            task.run = Math.max(task.run, runBase) + 1;
            sendStart(task, nowMillis);
        }
    }

    /** Starts either all tasks of the step, with the same run number, or none of them. */
    private void startGang(StepRun step, PoolId pool, FleetPolicy policy, long nowMillis) {
        List<TrackedTask> placed = new ArrayList<>();
        long run = runBase;
        String checkpoint = "";
        for (TrackedTask task : step.tasks) {
            if (!canStart(task, nowMillis) || !placeTask(task, pool, policy, nowMillis)) {
                placed.forEach(member -> fleet.unassign(member, nowMillis));
                return;
            }
            placed.add(task);
            run = Math.max(run, task.run);
            checkpoint = task.checkpoint.isEmpty() ? checkpoint : task.checkpoint;
        }
        for (TrackedTask task : placed) {
            task.run = run + 1;
            task.checkpoint = checkpoint;
            sendStart(task, nowMillis);
        }
    }

    private boolean placeTask(TrackedTask task, PoolId pool, FleetPolicy policy, long nowMillis) {
        JobRun job = task.step.job;
        Resources need = task.step.definition.need();
        if (!fleet.usage.permits(policy, job.definition.organisation(), need)) {
            return false;
        }
        WorkerState worker = Placement.choose(task, fleet.workersOf(pool), nowMillis);
        if (worker == null) {
            return false;
        }
        fleet.assign(task, worker, TrackedTask.State.STARTING, nowMillis);
        task.lastProgressMillis = nowMillis;
        return true;
    }

    private void sendStart(TrackedTask task, long nowMillis) {
        task.step.markStarted();
        String checkpoint = task.step.definition.checkpointing() ? task.checkpoint : "";
        String spec = task.step.job.definition.spec();
        unansweredStarts.recordSent(task.worker, task.ref, task.run, nowMillis);
        orders.start(task.worker, new StartOrder(task.ref, task.run, spec, checkpoint));
    }
}
