package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.share.Resources;
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
    private final RunForecast forecast;
    private final LookAhead lookAhead;
    private final Map<PoolId, PoolReservations> reservations = new HashMap<>();
    private final Map<PoolId, OnTimeSelection> selections = new HashMap<>();
    private ReservationListener listener = ReservationListener.NONE;

    /** Every run number of this owner is greater than this one. */
    private final long runBase;

    Dispatcher(
            FleetState fleet,
            OrderSender orders,
            UnansweredStarts unansweredStarts,
            StepRanking ranking,
            ExcessRanking excessRanking,
            RunForecast forecast,
            LookAhead lookAhead,
            long runBase) {
        this.fleet = fleet;
        this.orders = orders;
        this.unansweredStarts = unansweredStarts;
        this.ranking = ranking;
        this.excessRanking = excessRanking;
        this.forecast = forecast;
        this.lookAhead = lookAhead;
        this.runBase = runBase;
    }

    /** Reports reservations to the listener from now on. */
    void setReservationListener(ReservationListener newListener) {
        listener = newListener;
        reservations.clear();
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
            if (lookAhead.selectsOnTime()) {
                selection(pool).apply(candidates, fleet.workersOf(pool), nowMillis);
            }
            candidates.sort(StepRanking.DISPATCH_ORDER);
            PoolTurn turn = beginTurn(pool, nowMillis);
            for (StepRanking.Candidate candidate : candidates) {
                StepRun step = candidate.step();
                turn.beginStep(candidate.rank());
                if (step.job.isReady(step)) {
                    startTasks(step, turn, policy, nowMillis);
                } else {
                    addBlocked(step, step.tasks, readyMillis(step, nowMillis), turn, policy);
                }
            }
            turn.end();
        }
    }

    private OnTimeSelection selection(PoolId pool) {
        return selections.computeIfAbsent(pool, id -> new OnTimeSelection(forecast));
    }

    private PoolTurn beginTurn(PoolId pool, long nowMillis) {
        PoolReservations ofPool =
                reservations.computeIfAbsent(
                        pool, id -> new PoolReservations(lookAhead, forecast, listener));
        return new PoolTurn(fleet.workersOf(pool), ofPool, forecast, lookAhead, nowMillis);
    }

    private List<StepRanking.Candidate> candidates(
            PoolId pool, FleetPolicy policy, long nowMillis, long epochMillis) {
        List<StepRanking.Candidate> found = new ArrayList<>();
        for (JobRun job : fleet.activeJobs(pool)) {
            job.occurrences.openDueBy(epochMillis + PoolDemand.LEAD_MILLIS);
            if (job.held || job.progressUnreadable) {
                continue;
            }
            QueuePolicy queue = policy.queueOf(job.definition);
            long due = job.definition.recurrence().count() == 0 ? job.acceptedMillis : nowMillis;
            for (StepRun step : job.stepsDueBy(epochMillis)) {
                if (hasStartableTask(step, nowMillis) && isReadySoon(step, nowMillis)) {
                    found.add(ranking.candidate(step, queue, due, nowMillis));
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

    /** Whether the step is ready, or its earlier steps are expected to end soon. */
    private boolean isReadySoon(StepRun step, long nowMillis) {
        if (step.job.isReady(step)) {
            return true;
        }
        return lookAhead.nextStepMillis() > 0
                && readyMillis(step, nowMillis) - nowMillis <= lookAhead.nextStepMillis();
    }

    private long readyMillis(StepRun step, long nowMillis) {
        long ready = nowMillis;
        for (int earlier : step.definition.after()) {
            StepRun before = step.job.steps(step.occurrence).get(earlier);
            ready = Math.max(ready, forecast.doneMillis(before, nowMillis));
        }
        return ready;
    }

    private void startTasks(StepRun step, PoolTurn turn, FleetPolicy policy, long nowMillis) {
        List<TrackedTask> startable =
                step.tasks.stream().filter(task -> canStart(task, nowMillis)).toList();
        if (step.definition.gang()) {
            if (startable.size() == step.tasks.size()) {
                startGang(step, turn, policy, nowMillis);
            }
            return;
        }
        for (int index = 0; index < startable.size(); index++) {
            TrackedTask task = startable.get(index);
            WorkerState worker = placeTask(task, turn, policy, nowMillis);
            if (worker == null) {
                List<TrackedTask> rest = startable.subList(index, startable.size());
                addBlocked(step, rest, nowMillis, turn, policy);
                return;
            }
            task.run = Math.max(task.run, runBase) + 1;
            sendStart(task, nowMillis);
            turn.recordStart(task, worker);
        }
    }

    /** Starts either all tasks of the step, with the same run number, or none of them. */
    private void startGang(StepRun step, PoolTurn turn, FleetPolicy policy, long nowMillis) {
        List<WorkerState> workers = new ArrayList<>();
        long run = runBase;
        String checkpoint = "";
        for (TrackedTask task : step.tasks) {
            WorkerState worker = placeTask(task, turn, policy, nowMillis);
            if (worker == null) {
                step.tasks
                        .subList(0, workers.size())
                        .forEach(member -> fleet.unassign(member, nowMillis));
                addBlocked(step, step.tasks, nowMillis, turn, policy);
                return;
            }
            workers.add(worker);
            run = Math.max(run, task.run);
            checkpoint = task.checkpoint.isEmpty() ? checkpoint : task.checkpoint;
        }
        for (int index = 0; index < workers.size(); index++) {
            TrackedTask task = step.tasks.get(index);
            task.run = run + 1;
            task.checkpoint = checkpoint;
            sendStart(task, nowMillis);
            turn.recordStart(task, workers.get(index));
        }
    }

    /**
     * Makes capacity wait for tasks that do not fit. Tasks beyond the cap of their organisation are
     * left out, because they could not use it.
     */
    private void addBlocked(
            StepRun step,
            List<TrackedTask> tasks,
            long readyMillis,
            PoolTurn turn,
            FleetPolicy policy) {
        int permitted = permittedTasks(step, tasks.size(), policy);
        if (permitted == tasks.size() || permitted > 0 && !step.definition.gang()) {
            turn.addBlocked(tasks.get(0), permitted, readyMillis);
        }
    }

    private int permittedTasks(StepRun step, int tasks, FleetPolicy policy) {
        int permitted = 0;
        while (permitted < tasks
                && fleet.usage.permits(
                        policy, step.job.definition, step.definition.need().times(permitted + 1))) {
            permitted++;
        }
        return permitted;
    }

    /**
     * Assigns the task to the best worker and returns that, or returns null if none can take it.
     */
    private WorkerState placeTask(
            TrackedTask task, PoolTurn turn, FleetPolicy policy, long nowMillis) {
        JobRun job = task.step.job;
        Resources need = task.step.definition.need();
        if (!fleet.usage.permits(policy, job.definition, need)) {
            return null;
        }
        WorkerState worker = turn.choose(task);
        if (worker != null) {
            fleet.assign(task, worker, TrackedTask.State.STARTING, nowMillis);
        }
        return worker;
    }

    private void sendStart(TrackedTask task, long nowMillis) {
        task.step.markStarted();
        String checkpoint = task.step.definition.checkpointing() ? task.checkpoint : "";
        String spec = task.step.job.definition.spec();
        unansweredStarts.recordSent(task.worker, task.ref, task.run, nowMillis);
        fleet.workers.get(task.worker).health.recordStart(task, nowMillis);
        orders.start(task.worker, new StartOrder(task.ref, task.run, spec, checkpoint));
    }
}
