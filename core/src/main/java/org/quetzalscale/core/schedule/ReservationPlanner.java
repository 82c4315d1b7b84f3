package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Function;
import org.quetzalscale.core.task.StepDefinition;

/** Finds the workers where the waiting tasks of a step are expected to fit first. */
final class ReservationPlanner {
    /** Tasks of a step beyond this number are expected to fit only after others have ended. */
    private static final int MAX_TASKS = 16;

    private final RunForecast forecast;

    ReservationPlanner(RunForecast forecast) {
        this.forecast = forecast;
    }

    /** The earliest fit on a worker that can still take some tasks of the step. */
    private record Option(WorkerState worker, long atMillis) {}

    /**
     * Returns a slot for each task, by ascending time, or fewer if not all of them can be expected
     * to fit. The slots of a gang have the same time; there are none if not all of its tasks fit.
     *
     * @param claims what other steps have reserved on a worker
     */
    List<Reservation.Slot> slots(
            TrackedTask sample,
            int tasks,
            Collection<WorkerState> workers,
            Function<WorkerState, List<WorkerProfile.Claim>> claims,
            long notBeforeMillis,
            long nowMillis) {
        StepRun step = sample.step;
        boolean gang = step.definition.gang();
        int wanted = gang ? tasks : Math.min(tasks, MAX_TASKS);
        PriorityQueue<Option> options =
                new PriorityQueue<>(Comparator.comparingLong(Option::atMillis));
        Fit fit = new Fit(step, claims, notBeforeMillis, nowMillis);
        for (WorkerState worker : workers) {
            if (Placement.isEligible(sample, worker, nowMillis)) {
                fit.offer(options, worker, List.of());
            }
        }
        List<Reservation.Slot> slots = new ArrayList<>();
        while (slots.size() < wanted && !options.isEmpty()) {
            Option best = options.poll();
            slots.add(new Reservation.Slot(best.worker(), best.atMillis()));
            fit.offer(options, best.worker(), slots);
        }
        if (!gang) {
            return slots;
        }
        return slots.size() < wanted ? List.of() : atTheSameTime(slots);
    }

    private static List<Reservation.Slot> atTheSameTime(List<Reservation.Slot> slots) {
        long last = slots.get(slots.size() - 1).atMillis();
        return slots.stream().map(slot -> new Reservation.Slot(slot.worker(), last)).toList();
    }

    /** The claims of a step's slots on a worker. */
    List<WorkerProfile.Claim> claims(
            StepRun step, List<Reservation.Slot> slots, WorkerState worker) {
        List<WorkerProfile.Claim> claims = new ArrayList<>();
        for (Reservation.Slot slot : slots) {
            if (slot.worker() == worker) {
                claims.add(claim(step, slot));
            }
        }
        return claims;
    }

    /** What a slot of the step claims on its worker. */
    WorkerProfile.Claim claim(StepRun step, Reservation.Slot slot) {
        long run = forecast.runMillis(step);
        long until = run == RunForecast.NEVER ? run : slot.atMillis() + run;
        return new WorkerProfile.Claim(step.definition.reserved(), slot.atMillis(), until);
    }

    private final class Fit {
        private final StepRun step;
        private final Function<WorkerState, List<WorkerProfile.Claim>> others;
        private final long notBeforeMillis;
        private final long nowMillis;

        private Fit(
                StepRun step,
                Function<WorkerState, List<WorkerProfile.Claim>> others,
                long notBeforeMillis,
                long nowMillis) {
            this.step = step;
            this.others = others;
            this.notBeforeMillis = notBeforeMillis;
            this.nowMillis = nowMillis;
        }

        private void offer(
                PriorityQueue<Option> options, WorkerState worker, List<Reservation.Slot> taken) {
            StepDefinition definition = step.definition;
            List<WorkerProfile.Claim> claims = claims(step, taken, worker);
            int own = claims.size();
            int limit = definition.maxPerWorker();
            if (limit > 0 && worker.tasksOf(step) + own >= limit) {
                return;
            }
            claims.addAll(others.apply(worker));
            long at =
                    new WorkerProfile(worker, claims, forecast, nowMillis)
                            .earliestFit(
                                    definition.reserved(),
                                    notBeforeMillis,
                                    forecast.runMillis(step));
            if (at != RunForecast.NEVER) {
                options.add(new Option(worker, at));
            }
        }
    }
}
