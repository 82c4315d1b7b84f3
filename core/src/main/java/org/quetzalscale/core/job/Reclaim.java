package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * Gives borrowed capacity back to those who are entitled to it, cheapest loss first: a throttled
 * job loses nothing, a checkpoint costs the time to write it, and a plain stop costs all work since
 * the last checkpoint.
 */
final class Reclaim {
    /** Time that a job that is not urgent waits before others are stopped for it. */
    private static final long RECLAIM_AFTER_MILLIS = 2_000;

    /** Longest checkpoint that urgent work waits for, in milliseconds. */
    private static final long URGENT_CHECKPOINT_MILLIS = 1_500;

    /** Run time up to which a job is left to end on a worker that drains, in milliseconds. */
    private static final long DRAIN_GRACE_MILLIS = 30_000;

    /** Lowest share of its declared cores that a throttled job keeps, in percent. */
    private static final int MIN_THROTTLE_PERCENT = 25;

    /** Run time before a job is stopped for one that is not urgent, so that work gets on. */
    private static final long MIN_RUN_MILLIS = 5_000;

    private static final Comparator<RunningJob> LOSS = byLoss(false);
    private static final Comparator<RunningJob> LOSS_TO_URGENT = byLoss(true);
    private static final int MAX_JOBS_PER_PLAN = 32;

    private Reclaim() {}

    static void apply(PlanState state, List<WaitingJob> unplaced) {
        stopOnLeavingWorkers(state);
        relieveMemory(state);
        unplaced.stream()
                .filter(job -> isDue(state, job))
                .sorted(
                        Comparator.comparing((WaitingJob job) -> !job.spec().urgent())
                                .thenComparingDouble(job -> state.ratio(job.team()))
                                .thenComparing(WaitingJob.ORDER))
                .limit(MAX_JOBS_PER_PLAN)
                .forEach(job -> makeRoom(state, job));
        liftThrottles(state);
    }

    private static boolean isDue(PlanState state, WaitingJob job) {
        return job.spec().urgent()
                || state.view().nowMillis() - job.job().submittedAtMillis() >= RECLAIM_AFTER_MILLIS;
    }

    private static void stopOnLeavingWorkers(PlanState state) {
        for (WorkerView worker : state.view().workers()) {
            if (!worker.leaving()) {
                continue;
            }
            for (RunningJob job : state.runningOn(worker.worker())) {
                if (state.isUntouched(job) && job.remainingMillis() > DRAIN_GRACE_MILLIS) {
                    state.stop(job, true, "worker " + worker.worker() + " is draining");
                }
            }
        }
    }

    /** Usage beyond what was declared can exceed a worker's memory, which would end all on it. */
    private static void relieveMemory(PlanState state) {
        for (WorkerView worker : state.view().workers()) {
            List<RunningJob> jobs =
                    new ArrayList<>(
                            state.runningOn(worker.worker()).stream()
                                    .filter(state::isUntouched)
                                    .toList());
            double excess = -state.comingFree(worker.worker()).memoryMib();
            while (jobs.size() > 1 && excess > 0) {
                RunningJob victim = smallestAbove(jobs, excess);
                jobs.remove(victim);
                excess -= victim.use().memoryMib();
                state.stop(victim, true, "usage on " + worker.worker() + " exceeds its memory");
            }
        }
    }

    /** The job that frees enough at the least cost, or the one that frees most. */
    private static RunningJob smallestAbove(List<RunningJob> jobs, double excess) {
        return jobs.stream()
                .filter(job -> !job.spec().urgent() && job.use().memoryMib() >= excess)
                .min(LOSS)
                .orElseGet(
                        () ->
                                Collections.max(
                                        jobs,
                                        Comparator.comparingDouble(job -> job.use().memoryMib())));
    }

    private static void makeRoom(PlanState state, WaitingJob job) {
        boolean entitled = state.isEntitled(job.team(), job.need());
        if (!entitled && !job.spec().urgent()) {
            return;
        }
        boolean ownOnly = !entitled || !state.willHaveUnits(job);
        if (state.willHaveUnits(job)) {
            Optional<WorkerId> soon =
                    JobScheduler.candidates(state, job)
                            .map(WorkerView::worker)
                            .filter(worker -> job.need().fitsIn(state.comingFree(worker)))
                            .findFirst();
            if (soon.isPresent()) {
                state.reserve(job, soon.get());
                return;
            }
        }
        if (!ownOnly && throttleFor(state, job)) {
            return;
        }
        Set<TeamId> giving = ownOnly ? new HashSet<>() : state.borrowers();
        if (job.spec().urgent()) {
            giving.add(job.team());
        }
        JobScheduler.candidates(state, job)
                .filter(worker -> hasAny(state.runningOn(worker.worker()), giving))
                .map(worker -> victims(state, job, worker, giving))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Victims::loss))
                .ifPresent(
                        victims -> {
                            for (RunningJob victim : victims.jobs()) {
                                state.stop(
                                        victim,
                                        checkpoints(victim, job.spec().urgent()),
                                        "capacity is given back to team " + job.team());
                            }
                            state.reserve(job, victims.worker());
                        });
    }

    private static boolean hasAny(List<RunningJob> jobs, Set<TeamId> teams) {
        for (RunningJob job : jobs) {
            if (teams.contains(job.team())) {
                return true;
            }
        }
        return false;
    }

    /** Frees cores alone, if nothing else is missing on some worker. */
    private static boolean throttleFor(PlanState state, WaitingJob job) {
        for (WorkerView worker : JobScheduler.candidates(state, job).toList()) {
            Resources room = state.comingFree(worker.worker());
            double missing = job.need().cores() - room.cores();
            Resources rest =
                    new Resources(
                            0,
                            job.need().memoryMib(),
                            job.need().accelerators(),
                            job.need().slots());
            if (!rest.fitsIn(room.max(Resources.NONE))) {
                continue;
            }
            for (RunningJob victim : state.runningOn(worker.worker())) {
                int declared = victim.spec().cores();
                double kept = victim.use().cores() - missing;
                int percent = (int) (declared == 0 ? 0 : 100 * kept / declared);
                if (state.isUntouched(victim)
                        && !victim.spec().urgent()
                        && !victim.team().equals(job.team())
                        && state.isBorrowed(victim.team(), new Resources(missing, 0, 0, 0))
                        && percent >= MIN_THROTTLE_PERCENT) {
                    state.throttle(victim, Math.min(100, percent), missing);
                    state.reserve(job, worker.worker());
                    return true;
                }
            }
        }
        return false;
    }

    private static Optional<Victims> victims(
            PlanState state, WaitingJob job, WorkerView worker, Set<TeamId> giving) {
        Resources room = state.comingFree(worker.worker());
        int ownUnits = 0;
        double loss = 0;
        List<RunningJob> chosen = new ArrayList<>();
        Resources taken = Resources.NONE;
        Map<TeamId, Resources> takenFrom = new HashMap<>();
        boolean urgent = job.spec().urgent();
        List<RunningJob> byLoss =
                state.runningOn(
                        worker.worker(),
                        urgent ? "loss to urgent" : "loss",
                        urgent ? LOSS_TO_URGENT : LOSS);
        for (RunningJob victim : byLoss) {
            if (!isVictim(state, job, victim, giving)) {
                continue;
            }
            Resources fromTeam =
                    takenFrom.getOrDefault(victim.team(), Resources.NONE).plus(victim.use());
            if (!victim.team().equals(job.team()) && !state.isBorrowed(victim.team(), fromTeam)) {
                continue;
            }
            chosen.add(victim);
            takenFrom.put(victim.team(), fromTeam);
            taken = taken.plus(victim.use());
            ownUnits += victim.team().equals(job.team()) ? victim.spec().slots() : 0;
            loss += loss(victim, job.spec().urgent());
            boolean hasUnits = state.willHaveUnits(job) || ownUnits >= job.spec().slots();
            if (hasUnits && job.need().fitsIn(room.plus(taken))) {
                return Optional.of(new Victims(worker.worker(), chosen, loss));
            }
        }
        return Optional.empty();
    }

    private static boolean isVictim(
            PlanState state, WaitingJob job, RunningJob victim, Set<TeamId> giving) {
        return giving.contains(victim.team())
                && !victim.spec().urgent()
                && (job.spec().urgent() || victim.ranMillis() >= MIN_RUN_MILLIS)
                && state.isUntouched(victim);
    }

    private static void liftThrottles(PlanState state) {
        for (RunningJob job : state.view().running()) {
            double more = job.spec().cores() * (100 - job.throttlePercent()) / 100.0;
            if (job.throttlePercent() < 100
                    && state.isUntouched(job)
                    && state.free(job.worker()).cores() >= more) {
                state.throttle(job, 100, -more);
            }
        }
    }

    private static boolean checkpoints(RunningJob victim, boolean urgent) {
        return !urgent || victim.checkpointMillis() <= URGENT_CHECKPOINT_MILLIS;
    }

    /** Lost processor and memory time: the larger of both parts, in milliseconds times parts. */
    private static double loss(RunningJob victim, boolean urgent) {
        long lostMillis =
                checkpoints(victim, urgent) ? victim.checkpointMillis() : victim.unsavedMillis();
        return lostMillis * Math.max(1, victim.use().slots());
    }

    private static Comparator<RunningJob> byLoss(boolean urgent) {
        return Comparator.comparing((RunningJob job) -> job.spec().urgent())
                .thenComparingDouble(job -> loss(job, urgent))
                .thenComparing(job -> job.stored().job().id());
    }

    /** Jobs to stop on one worker, and what is lost. */
    private record Victims(WorkerId worker, List<RunningJob> jobs, double loss) {}
}
