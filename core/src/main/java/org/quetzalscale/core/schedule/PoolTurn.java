package org.quetzalscale.core.schedule;

import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** The workers of a pool in one plan, offered to steps in their order. */
final class PoolTurn {
    private final Collection<WorkerState> workers;
    private final PoolReservations reservations;
    private final RunForecast forecast;
    private final long nowMillis;
    private final ToDoubleFunction<WorkerState> finitePreference;
    private final UnfitNeeds unfit = new UnfitNeeds();
    private boolean mayReserve;

    PoolTurn(
            Collection<WorkerState> workers,
            PoolReservations reservations,
            RunForecast forecast,
            LookAhead lookAhead,
            long nowMillis) {
        this.workers = workers;
        this.reservations = reservations;
        this.forecast = forecast;
        this.nowMillis = nowMillis;
        reservations.beginPlan(workers, nowMillis);
        boolean packed = usedPart(workers) > lookAhead.packAboveUsedPart();
        this.finitePreference = packed ? Placement.PACKED : Placement.SPREAD;
    }

    /**
     * Offers the workers to the next step. Excess of an organisation gets no reservation: kept
     * capacity would count for none of the organisations that share what is left.
     */
    void beginStep(StepRanking.Rank rank) {
        mayReserve = rank != StepRanking.Rank.EXCESS;
    }

    /**
     * Returns the best worker for the task, or null if none can take it without delaying a step
     * with a reservation.
     */
    WorkerState choose(TrackedTask task) {
        long run = forecast.runMillis(task.step);
        if (unfit.contains(task.step.definition, run)) {
            return null;
        }
        boolean bound = false;
        ToDoubleFunction<WorkerState> preference =
                task.step.definition.lasting() || !mayReserve ? Placement.SPREAD : finitePreference;
        WorkerState worker =
                Placement.choose(task, workers, candidate -> true, preference, nowMillis);
        if (worker != null && reservations.bind()) {
            bound = true;
            worker =
                    Placement.choose(
                            task,
                            workers,
                            candidate -> reservations.permit(task, candidate),
                            preference,
                            nowMillis);
        }
        if (worker == null && failsForAll(task)) {
            unfit.add(task.step.definition, bound ? run : 0);
        }
        return worker;
    }

    /**
     * Whether other tasks with the need of this one do not fit either. A gang that does not fit
     * returns what its first tasks took, and a suspected worker may refuse the task for its job.
     */
    private boolean failsForAll(TrackedTask task) {
        return task.step.definition.maxPerWorker() == 0
                && !task.step.definition.gang()
                && !task.isStrongCrashSuspect()
                && workers.stream().noneMatch(w -> w.health.holdsBack(task, nowMillis));
    }

    private static double usedPart(Collection<WorkerState> workers) {
        double used = 0;
        double cores = 0;
        for (WorkerState worker : workers) {
            used += worker.used.cores();
            cores += worker.entry.capacity().cores();
        }
        return cores > 0 ? used / cores : 0;
    }

    /** Records that tasks of a step do not fit. */
    void addBlocked(TrackedTask sample, int tasks, long readyMillis) {
        if (mayReserve) {
            reservations.addBlocked(sample, tasks, readyMillis);
        }
    }

    /** Records that a task has started on the worker. */
    void recordStart(TrackedTask task, WorkerState worker) {
        reservations.recordStart(task, worker);
    }

    /** Ends the plan. */
    void end() {
        reservations.endPlan();
    }
}
