package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StartOrder;

/** Starts what waits, in the order of {@link WaitingOrder}, where {@link Placement} finds room. */
final class Dispatcher {
    private final FleetState fleet;
    private final OrderSender orders;
    private final LateStarts lateStarts;
    private final WaitingOrder order;

    /** Run numbers of this owner are above this one. */
    private final long runBase;

    Dispatcher(
            FleetState fleet,
            OrderSender orders,
            LateStarts lateStarts,
            WaitingOrder order,
            long runBase) {
        this.fleet = fleet;
        this.orders = orders;
        this.lateStarts = lateStarts;
        this.order = order;
        this.runBase = runBase;
    }

    /**
     * Starts tasks.
     *
     * @param epochMillis the wall clock, for jobs with due times
     */
    void dispatch(FleetPolicy policy, long nowMillis, long epochMillis) {
        for (PoolId pool : fleet.activePools()) {
            List<WaitingOrder.Candidate> candidates =
                    candidates(pool, policy, nowMillis, epochMillis);
            candidates.sort(WaitingOrder.FIRST_SERVED);
            for (WaitingOrder.Candidate candidate : candidates) {
                startTasks(candidate.step(), pool, policy, nowMillis);
            }
        }
    }

    private List<WaitingOrder.Candidate> candidates(
            PoolId pool, FleetPolicy policy, long nowMillis, long epochMillis) {
        List<WaitingOrder.Candidate> found = new ArrayList<>();
        for (JobRun job : fleet.activeJobs(pool)) {
            if (job.held) {
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
                    if (hasWaiting(step, nowMillis) && job.isReady(step)) {
                        found.add(order.candidate(step, queue, due, nowMillis));
                    }
                }
            }
        }
        return found;
    }

    private static boolean hasWaiting(StepRun step, long nowMillis) {
        for (TrackedTask task : step.tasks) {
            if (mayStart(task, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private static boolean mayStart(TrackedTask task, long nowMillis) {
        return task.state == TrackedTask.State.WAITING && nowMillis >= task.notBeforeMillis;
    }

    private void startTasks(StepRun step, PoolId pool, FleetPolicy policy, long nowMillis) {
        if (step.definition.gang()) {
            startGang(step, pool, policy, nowMillis);
            return;
        }
        for (TrackedTask task : step.tasks) {
            if (!mayStart(task, nowMillis)) {
                continue;
            }
            if (!place(task, pool, policy, nowMillis)) {
                return;
            }
            task.run = Math.max(task.run, runBase) + 1;
            send(task, nowMillis);
        }
    }

    /** Starts all tasks of the step together, with one run number, or none. */
    private void startGang(StepRun step, PoolId pool, FleetPolicy policy, long nowMillis) {
        List<TrackedTask> placed = new ArrayList<>();
        long run = runBase;
        String checkpoint = "";
        for (TrackedTask task : step.tasks) {
            if (!mayStart(task, nowMillis) || !place(task, pool, policy, nowMillis)) {
                placed.forEach(member -> fleet.vacate(member, nowMillis));
                return;
            }
            placed.add(task);
            run = Math.max(run, task.run);
            checkpoint = task.checkpoint.isEmpty() ? checkpoint : task.checkpoint;
        }
        for (TrackedTask task : placed) {
            task.run = run + 1;
            task.checkpoint = checkpoint;
            send(task, nowMillis);
        }
    }

    private boolean place(TrackedTask task, PoolId pool, FleetPolicy policy, long nowMillis) {
        JobRun job = task.step.job;
        Resources need = task.step.definition.need();
        if (!fleet.usage.permits(policy, job.definition.organisation(), need)) {
            return false;
        }
        WorkerState worker = Placement.choose(task, fleet.workersOf(pool), nowMillis);
        if (worker == null) {
            return false;
        }
        fleet.occupy(task, worker, TrackedTask.State.ORDERED, nowMillis);
        task.progressedMillis = nowMillis;
        return true;
    }

    private void send(TrackedTask task, long nowMillis) {
        task.step.markBegun();
        String checkpoint = task.step.definition.checkpointing() ? task.checkpoint : "";
        String spec = task.step.job.definition.spec();
        lateStarts.sent(task.worker, task.ref, task.run, nowMillis);
        orders.start(task.worker, new StartOrder(task.ref, task.run, spec, checkpoint));
    }
}
