package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.share.Resources;

/**
 * Reserves capacity of a pool for the first steps that do not fit, so that smaller tasks behind
 * them do not take each core that becomes free for as long as they arrive.
 *
 * <p>A reservation only binds steps behind its step in the order of the present plan, so more
 * urgent work ignores it. It is made when a task behind it could start, because without such a task
 * it changes nothing. It is kept over plans until its step has started, a step ahead needs it or a
 * worker of it takes no tasks any more. One whose time passes is planned again.
 */
final class PoolReservations {
    /**
     * How long a reservation may be planned again after its first time. It exceeds what an estimate
     * that is wrong by a factor of two delays a short task, so a later start has another cause.
     */
    private static final long MAX_POSTPONED_MILLIS = 2_000;

    /** How long a step gets no reservation after one was given up. */
    private static final long PAUSE_MILLIS = 2_000;

    /**
     * A task respects the reservation of one that needs at least this multiple of it. Among tasks
     * of similar size a reservation only makes capacity wait: either of them can use it.
     */
    private static final double MIN_NEED_RATIO = 2;

    /** A step that did not fit in the present plan. */
    private record Blocked(TrackedTask sample, int tasks, long readyMillis) {}

    private final LookAhead lookAhead;
    private final RunForecast forecast;
    private final ReservationPlanner planner;
    private final ReservationListener listener;
    private final Map<StepRun, Reservation> held = new LinkedHashMap<>();
    private final Map<StepRun, Long> pausedUntilMillis = new HashMap<>();

    private final List<Blocked> blocked = new ArrayList<>();
    private final Map<WorkerState, List<WorkerProfile.Claim>> claims = new HashMap<>();
    private Collection<WorkerState> workers = List.of();
    private long nowMillis;
    private int planned;

    PoolReservations(LookAhead lookAhead, RunForecast forecast, ReservationListener listener) {
        this.lookAhead = lookAhead;
        this.forecast = forecast;
        this.planner = new ReservationPlanner(forecast);
        this.listener = listener;
    }

    /** Begins a plan, which offers the workers to steps in their order. */
    void beginPlan(Collection<WorkerState> poolWorkers, long planMillis) {
        workers = poolWorkers;
        nowMillis = planMillis;
        blocked.clear();
        claims.clear();
        planned = 0;
        pausedUntilMillis.values().removeIf(until -> until <= planMillis);
    }

    /**
     * Records that tasks of a step do not fit. The steps that are offered from now on respect its
     * reservation.
     *
     * @param sample a waiting task of the step
     * @param readyMillis when the step is expected to be ready
     */
    void addBlocked(TrackedTask sample, int tasks, long readyMillis) {
        StepRun step = sample.step;
        if (blocked.size() >= lookAhead.maxReservations()
                || step.definition.filler()
                || pausedUntilMillis.containsKey(step)) {
            return;
        }
        Reservation reservation = held.get(step);
        if (reservation != null && isPostponedTooLong(reservation)) {
            held.remove(step);
            pausedUntilMillis.put(step, nowMillis + PAUSE_MILLIS);
            notifyGivenUp(step, ReservationListener.Cause.POSTPONED);
            return;
        }
        blocked.add(new Blocked(sample, tasks, readyMillis));
    }

    /** Whether steps that are offered now have to respect a reservation. */
    boolean bind() {
        return !blocked.isEmpty();
    }

    /** Whether the task can run on the worker without delaying a step that was offered before. */
    boolean permit(TrackedTask task, WorkerState worker) {
        planBlocked();
        Resources capacity = worker.entry.capacity();
        double part = MIN_NEED_RATIO * task.step.definition.reserved().dominantPart(capacity);
        List<WorkerProfile.Claim> claimed =
                claims.getOrDefault(worker, List.of()).stream()
                        .filter(claim -> claim.need().dominantPart(capacity) >= part)
                        .toList();
        if (claimed.isEmpty()) {
            return true;
        }
        return new WorkerProfile(worker, claimed, forecast, nowMillis)
                        .earliestFit(
                                task.step.definition.reserved(),
                                nowMillis,
                                forecast.runMillis(task.step))
                == nowMillis;
    }

    /** Records that a task has started on the worker. */
    void recordStart(TrackedTask task, WorkerState worker) {
        if (claims.containsKey(worker)) {
            listener.backfilled();
        }
        Reservation reservation = held.get(task.step);
        if (reservation == null) {
            return;
        }
        Reservation rest = reservation.withoutTaskOn(worker);
        if (rest.slots().isEmpty()) {
            held.remove(task.step);
            listener.used(task.ref.job(), task.ref.step());
        } else {
            held.put(task.step, rest);
        }
    }

    /** Ends a plan: drops the reservations of steps that did not keep theirs. */
    void endPlan() {
        Iterator<StepRun> steps = held.keySet().iterator();
        while (steps.hasNext()) {
            StepRun step = steps.next();
            if (blocked.stream().noneMatch(entry -> entry.sample().step == step)) {
                steps.remove();
                notifyGivenUp(step, ReservationListener.Cause.REPLACED);
            }
        }
    }

    private void planBlocked() {
        for (; planned < blocked.size(); planned++) {
            Reservation reservation = reservation(blocked.get(planned));
            for (Reservation.Slot slot : reservation.slots()) {
                claims.computeIfAbsent(slot.worker(), worker -> new ArrayList<>())
                        .add(planner.claim(reservation.step(), slot));
            }
        }
    }

    private Reservation reservation(Blocked entry) {
        StepRun step = entry.sample().step;
        Reservation former = held.get(step);
        if (former != null && isStillExpected(former, entry)) {
            Reservation kept = former.limitedTo(entry.tasks());
            held.put(step, kept);
            return kept;
        }
        List<Reservation.Slot> slots =
                planner.slots(
                        entry.sample(),
                        entry.tasks(),
                        workers,
                        worker -> claims.getOrDefault(worker, List.of()),
                        entry.readyMillis(),
                        nowMillis);
        if (slots.isEmpty()) {
            return new Reservation(step, nowMillis, slots);
        }
        long first = slots.get(0).atMillis();
        Reservation made =
                new Reservation(step, former == null ? first : former.promisedMillis(), slots);
        if (held.put(step, made) == null) {
            listener.reserved(
                    step.job.definition.id(), step.number, slots.size(), first - nowMillis);
        }
        return made;
    }

    private boolean isStillExpected(Reservation reservation, Blocked entry) {
        for (Reservation.Slot slot : reservation.slots()) {
            if (slot.atMillis() <= nowMillis
                    || !workers.contains(slot.worker())
                    || !Placement.isEligible(entry.sample(), slot.worker(), nowMillis)) {
                return false;
            }
        }
        return true;
    }

    private boolean isPostponedTooLong(Reservation reservation) {
        return nowMillis - reservation.promisedMillis() > MAX_POSTPONED_MILLIS;
    }

    private void notifyGivenUp(StepRun step, ReservationListener.Cause cause) {
        listener.givenUp(step.job.definition.id(), step.number, cause);
    }
}
