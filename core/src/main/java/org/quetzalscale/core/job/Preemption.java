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
 * Preempts running jobs of teams above their entitlement for waiting jobs of teams below theirs,
 * and stops jobs on draining workers and on workers that run out of memory. The least loss of work
 * is preferred: throttling a job loses none, a checkpoint costs the time to write it, and a stop
 * without a checkpoint costs all work since the last one.
 */
final class Preemption {
    /** Waiting time before a job that is not urgent preempts others, in milliseconds. */
    private static final long PREEMPT_AFTER_MILLIS = 2_000;

    /** Maximum duration of a checkpoint that an urgent job waits for, in milliseconds. */
    private static final long URGENT_CHECKPOINT_MILLIS = 1_500;

    /**
     * Maximum remaining run time of a job that may finish on a draining worker, in milliseconds.
     */
    private static final long DRAIN_GRACE_MILLIS = 30_000;

    /** Minimum percentage of its declared cores that a throttled job keeps. */
    private static final int MIN_THROTTLE_PERCENT = 25;

    /**
     * Run time for which a job is safe from preemption by jobs that are not urgent, in
     * milliseconds. It guarantees that preempted jobs make progress.
     */
    private static final long MIN_RUN_MILLIS = 5_000;

    private static final Comparator<RunningJob> BY_LOSS = byLoss(false);
    private static final Comparator<RunningJob> BY_LOSS_FOR_URGENT = byLoss(true);
    private static final int MAX_JOBS_PER_PLAN = 32;

    private Preemption() {}

    static void addTo(JobPlanBuilder plan, List<WaitingJob> unplaced) {
        stopOnDrainingWorkers(plan);
        relieveMemory(plan);
        unplaced.stream()
                .filter(job -> mayPreempt(plan, job))
                .sorted(
                        Comparator.comparing((WaitingJob job) -> !job.spec().urgent())
                                .thenComparingDouble(job -> plan.weightedShare(job.team()))
                                .thenComparing(WaitingJob.ORDER))
                .limit(MAX_JOBS_PER_PLAN)
                .forEach(job -> preemptFor(plan, job));
        liftThrottles(plan);
    }

    private static boolean mayPreempt(JobPlanBuilder plan, WaitingJob job) {
        return job.spec().urgent()
                || plan.snapshot().nowMillis() - job.job().submittedAtMillis()
                        >= PREEMPT_AFTER_MILLIS;
    }

    private static void stopOnDrainingWorkers(JobPlanBuilder plan) {
        for (WorkerSnapshot worker : plan.snapshot().workers()) {
            if (!worker.leaving()) {
                continue;
            }
            for (RunningJob job : plan.runningOn(worker.worker())) {
                if (plan.isChangeable(job) && job.remainingMillis() > DRAIN_GRACE_MILLIS) {
                    plan.stop(job, true, "worker " + worker.worker() + " is draining");
                }
            }
        }
    }

    /**
     * Stops jobs on workers whose memory is overcommitted. Jobs may use more than they declared,
     * and a worker that runs out of memory loses all of its jobs.
     */
    private static void relieveMemory(JobPlanBuilder plan) {
        for (WorkerSnapshot worker : plan.snapshot().workers()) {
            List<RunningJob> jobs =
                    new ArrayList<>(
                            plan.runningOn(worker.worker()).stream()
                                    .filter(plan::isChangeable)
                                    .toList());
            double excess = -plan.freeAfterStops(worker.worker()).memoryMib();
            while (jobs.size() > 1 && excess > 0) {
                RunningJob victim = chooseMemoryVictim(jobs, excess);
                jobs.remove(victim);
                excess -= victim.use().memoryMib();
                plan.stop(victim, true, "usage on " + worker.worker() + " exceeds its memory");
            }
        }
    }

    /** The job with the least loss that frees enough memory, or the one that frees the most. */
    private static RunningJob chooseMemoryVictim(List<RunningJob> jobs, double excess) {
        return jobs.stream()
                .filter(job -> !job.spec().urgent() && job.use().memoryMib() >= excess)
                .min(BY_LOSS)
                .orElseGet(
                        () ->
                                Collections.max(
                                        jobs,
                                        Comparator.comparingDouble(job -> job.use().memoryMib())));
    }

    private static void preemptFor(JobPlanBuilder plan, WaitingJob job) {
        boolean entitled = plan.isWithinEntitlement(job.team(), job.need());
        if (!entitled && !job.spec().urgent()) {
            return;
        }
        boolean sameTeamOnly = !entitled || !plan.hasUnitsAfterStops(job);
        if (plan.hasUnitsAfterStops(job)) {
            Optional<WorkerId> available =
                    JobScheduler.candidates(plan, job)
                            .map(WorkerSnapshot::worker)
                            .filter(worker -> job.need().fitsIn(plan.freeAfterStops(worker)))
                            .findFirst();
            if (available.isPresent()) {
                plan.reserve(job, available.get());
                return;
            }
        }
        if (!sameTeamOnly && throttleFor(plan, job)) {
            return;
        }
        Set<TeamId> donorTeams = sameTeamOnly ? new HashSet<>() : plan.borrowers();
        if (job.spec().urgent()) {
            donorTeams.add(job.team());
        }
        JobScheduler.candidates(plan, job)
                .filter(worker -> runsJobOf(plan.runningOn(worker.worker()), donorTeams))
                .map(worker -> selectVictims(plan, job, worker, donorTeams))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Victims::loss))
                .ifPresent(
                        victims -> {
                            for (RunningJob victim : victims.jobs()) {
                                plan.stop(
                                        victim,
                                        writesCheckpoint(victim, job.spec().urgent()),
                                        "capacity is given back to team " + job.team());
                            }
                            plan.reserve(job, victims.worker());
                        });
    }

    private static boolean runsJobOf(List<RunningJob> jobs, Set<TeamId> teams) {
        for (RunningJob job : jobs) {
            if (teams.contains(job.team())) {
                return true;
            }
        }
        return false;
    }

    /** Throttles a job on a worker where only cores are missing; false if there is none. */
    private static boolean throttleFor(JobPlanBuilder plan, WaitingJob job) {
        for (WorkerSnapshot worker : JobScheduler.candidates(plan, job).toList()) {
            Resources free = plan.freeAfterStops(worker.worker());
            double missingCores = job.need().cores() - free.cores();
            Resources otherResources =
                    new Resources(
                            0,
                            job.need().memoryMib(),
                            job.need().accelerators(),
                            job.need().slots());
            if (!otherResources.fitsIn(free.max(Resources.NONE))) {
                continue;
            }
            for (RunningJob victim : plan.runningOn(worker.worker())) {
                int declared = victim.spec().cores();
                double remainingCores = victim.use().cores() - missingCores;
                int percent = (int) (declared == 0 ? 0 : 100 * remainingCores / declared);
                if (plan.isChangeable(victim)
                        && !victim.spec().urgent()
                        && !victim.team().equals(job.team())
                        && plan.isAtEntitlementWithout(
                                victim.team(), new Resources(missingCores, 0, 0, 0))
                        && percent >= MIN_THROTTLE_PERCENT) {
                    plan.throttle(victim, Math.min(100, percent), missingCores);
                    plan.reserve(job, worker.worker());
                    return true;
                }
            }
        }
        return false;
    }

    private static Optional<Victims> selectVictims(
            JobPlanBuilder plan, WaitingJob job, WorkerSnapshot worker, Set<TeamId> donorTeams) {
        Resources free = plan.freeAfterStops(worker.worker());
        int ownUnits = 0;
        double loss = 0;
        List<RunningJob> chosen = new ArrayList<>();
        Resources freed = Resources.NONE;
        Map<TeamId, Resources> freedByTeam = new HashMap<>();
        boolean urgent = job.spec().urgent();
        List<RunningJob> byLoss =
                plan.runningOn(
                        worker.worker(),
                        urgent ? "loss for urgent" : "loss",
                        urgent ? BY_LOSS_FOR_URGENT : BY_LOSS);
        for (RunningJob victim : byLoss) {
            if (!isVictim(plan, job, victim, donorTeams)) {
                continue;
            }
            Resources freedFromTeam =
                    freedByTeam.getOrDefault(victim.team(), Resources.NONE).plus(victim.use());
            if (!victim.team().equals(job.team())
                    && !plan.isAtEntitlementWithout(victim.team(), freedFromTeam)) {
                continue;
            }
            chosen.add(victim);
            freedByTeam.put(victim.team(), freedFromTeam);
            freed = freed.plus(victim.use());
            ownUnits += victim.team().equals(job.team()) ? victim.spec().slots() : 0;
            loss += loss(victim, job.spec().urgent());
            boolean hasUnits = plan.hasUnitsAfterStops(job) || ownUnits >= job.spec().slots();
            if (hasUnits && job.need().fitsIn(free.plus(freed))) {
                return Optional.of(new Victims(worker.worker(), chosen, loss));
            }
        }
        return Optional.empty();
    }

    private static boolean isVictim(
            JobPlanBuilder plan, WaitingJob job, RunningJob victim, Set<TeamId> donorTeams) {
        return donorTeams.contains(victim.team())
                && !victim.spec().urgent()
                && (job.spec().urgent() || victim.ranMillis() >= MIN_RUN_MILLIS)
                && plan.isChangeable(victim);
    }

    private static void liftThrottles(JobPlanBuilder plan) {
        for (RunningJob job : plan.snapshot().running()) {
            double additionalCores = job.spec().cores() * (100 - job.throttlePercent()) / 100.0;
            if (job.throttlePercent() < 100
                    && plan.isChangeable(job)
                    && plan.free(job.worker()).cores() >= additionalCores) {
                plan.throttle(job, 100, -additionalCores);
            }
        }
    }

    private static boolean writesCheckpoint(RunningJob victim, boolean urgent) {
        return !urgent || victim.checkpointMillis() <= URGENT_CHECKPOINT_MILLIS;
    }

    /** Run time that a stop loses, weighted by slots, in slot milliseconds. */
    private static double loss(RunningJob victim, boolean urgent) {
        long lostMillis =
                writesCheckpoint(victim, urgent)
                        ? victim.checkpointMillis()
                        : victim.unsavedMillis();
        return lostMillis * Math.max(1, victim.use().slots());
    }

    private static Comparator<RunningJob> byLoss(boolean urgent) {
        return Comparator.comparing((RunningJob job) -> job.spec().urgent())
                .thenComparingDouble(job -> loss(job, urgent))
                .thenComparing(job -> job.stored().job().id());
    }

    /** Jobs to stop on one worker, and the total loss in slot milliseconds. */
    private record Victims(WorkerId worker, List<RunningJob> jobs, double loss) {}
}
