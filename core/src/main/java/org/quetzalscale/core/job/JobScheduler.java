package org.quetzalscale.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * Decides which jobs start on which workers. Teams are served in order of their weighted dominant
 * share, the jobs of a team by urgency, priority, deadline and age. Jobs that do not fit are passed
 * to {@link Preemption}. Stateless.
 */
public final class JobScheduler {
    /**
     * Waiting time after which a worker is reserved for a job that fits nowhere, in milliseconds.
     */
    private static final long RESERVE_AFTER_MILLIS = 10_000;

    /** Number of workers for each worker that may be reserved. */
    private static final int WORKERS_PER_RESERVATION = 8;

    /**
     * Maximum number of unplaced jobs of a team in one round; the rest waits for the next round.
     */
    private static final int MAX_UNPLACED_PER_TEAM = 64;

    private JobScheduler() {}

    /** Makes the decisions of one scheduling round. */
    public static JobPlan plan(FleetSnapshot snapshot) {
        JobPlanBuilder plan = new JobPlanBuilder(snapshot);
        Map<TeamId, Deque<WaitingJob>> queues = queues(plan);
        List<WaitingJob> unplaced = new ArrayList<>();
        Set<WorkerId> reserved = reserve(plan, queues);
        startUrgent(plan, queues);
        startByShare(plan, queues, reserved, unplaced);
        Preemption.addTo(plan, unplaced);
        return plan.build();
    }

    private static Map<TeamId, Deque<WaitingJob>> queues(JobPlanBuilder plan) {
        Map<TeamId, List<WaitingJob>> jobs = new TreeMap<>();
        for (WaitingJob job : plan.snapshot().waiting()) {
            if (plan.hasTeam(job.team())) {
                jobs.computeIfAbsent(job.team(), key -> new ArrayList<>()).add(job);
            }
        }
        Map<TeamId, Deque<WaitingJob>> queues = new TreeMap<>();
        jobs.forEach(
                (team, list) -> {
                    list.sort(WaitingJob.ORDER);
                    queues.put(team, new ArrayDeque<>(list));
                });
        return queues;
    }

    /**
     * Reserves workers for large jobs that have waited long. Without reservations, small jobs could
     * starve a large one by taking every worker as soon as it has free capacity.
     */
    private static Set<WorkerId> reserve(
            JobPlanBuilder plan, Map<TeamId, Deque<WaitingJob>> queues) {
        Set<WorkerId> reserved = new HashSet<>();
        int maxReserved = plan.snapshot().workers().size() / WORKERS_PER_RESERVATION;
        for (TeamId team : byWeightedShare(plan, queues)) {
            WaitingJob job = queues.get(team).peek();
            long waitedMillis = plan.snapshot().nowMillis() - job.job().submittedAtMillis();
            if (reserved.size() >= maxReserved
                    || waitedMillis < RESERVE_AFTER_MILLIS
                    || !plan.hasUnits(job)
                    || !plan.isWithinEntitlement(team, job.need())
                    || bestFit(plan, job, reserved).isPresent()) {
                continue;
            }
            candidates(plan, job)
                    .filter(worker -> !reserved.contains(worker.worker()))
                    .filter(worker -> job.need().fitsIn(worker.capacity()))
                    .min(
                            Comparator.comparingDouble(
                                    worker ->
                                            worker.capacity()
                                                    .minus(plan.freeAfterStops(worker.worker()))
                                                    .dominantPart(worker.capacity())))
                    .ifPresent(worker -> reserved.add(worker.worker()));
        }
        return reserved;
    }

    private static List<TeamId> byWeightedShare(
            JobPlanBuilder plan, Map<TeamId, Deque<WaitingJob>> queues) {
        return queues.keySet().stream()
                .sorted(Comparator.comparingDouble(plan::weightedShare))
                .toList();
    }

    /**
     * Starts urgent jobs before all other jobs while the urgent jobs of their team alone are within
     * its entitlement. Other usage of the team beyond its entitlement is preempted later.
     */
    private static void startUrgent(JobPlanBuilder plan, Map<TeamId, Deque<WaitingJob>> queues) {
        for (TeamId team : byWeightedShare(plan, queues)) {
            Deque<WaitingJob> queue = queues.get(team);
            while (!queue.isEmpty() && queue.peek().spec().urgent()) {
                WaitingJob job = queue.peek();
                if (!plan.isUrgentWithinEntitlement(team, job.need())
                        || !tryStart(plan, job, Set.of())) {
                    break;
                }
                queue.poll();
            }
        }
    }

    private static void startByShare(
            JobPlanBuilder plan,
            Map<TeamId, Deque<WaitingJob>> queues,
            Set<WorkerId> reserved,
            List<WaitingJob> unplaced) {
        PriorityQueue<TeamRank> ranking =
                new PriorityQueue<>(
                        Comparator.comparingDouble(TeamRank::weightedShare)
                                .thenComparing(TeamRank::team));
        queues.keySet().forEach(team -> ranking.add(new TeamRank(team, plan.weightedShare(team))));
        Map<TeamId, Integer> unplacedCounts = new HashMap<>();
        List<WaitingJob> unplaceable = new ArrayList<>();
        while (!ranking.isEmpty()) {
            TeamId team = ranking.poll().team();
            WaitingJob job = queues.get(team).poll();
            if (job == null) {
                continue;
            }
            boolean cannotFit = unplaceable.stream().anyMatch(other -> needsAtLeast(job, other));
            if (cannotFit || !tryStart(plan, job, reserved)) {
                unplaced.add(job);
                if (!cannotFit && plan.hasUnits(job)) {
                    unplaceable.add(job);
                }
                if (unplacedCounts.merge(team, 1, Integer::sum) >= MAX_UNPLACED_PER_TEAM) {
                    continue;
                }
            }
            ranking.add(new TeamRank(team, plan.weightedShare(team)));
        }
    }

    /** Whether a job can not fit because another one that needs no more fitted on no worker. */
    private static boolean needsAtLeast(WaitingJob job, WaitingJob unplaceable) {
        return unplaceable.avoid().isEmpty()
                && (unplaceable.spec().pool().isEmpty()
                        || unplaceable.spec().pool().equals(job.spec().pool()))
                && unplaceable.need().fitsIn(job.need());
    }

    private static boolean tryStart(JobPlanBuilder plan, WaitingJob job, Set<WorkerId> reserved) {
        if (!plan.hasUnits(job)) {
            return false;
        }
        Optional<WorkerId> worker = bestFit(plan, job, reserved);
        worker.ifPresent(target -> plan.start(job, target));
        return worker.isPresent();
    }

    /**
     * Best-fit choice: the fullest worker with enough capacity, which keeps others free for large
     * jobs.
     */
    private static Optional<WorkerId> bestFit(
            JobPlanBuilder plan, WaitingJob job, Set<WorkerId> reserved) {
        boolean failedEverywhere = failedEverywhere(plan, job);
        WorkerId best = null;
        double lowestShare = Double.MAX_VALUE;
        for (WorkerSnapshot worker : plan.schedulableWorkers()) {
            Resources free = plan.free(worker.worker());
            if (free.slots() < job.need().slots()
                    || !job.need().fitsIn(free)
                    || !isCandidate(worker, job, failedEverywhere)
                    || reserved.contains(worker.worker())) {
                continue;
            }
            double freeShare = free.dominantPart(worker.capacity());
            if (freeShare < lowestShare) {
                best = worker.worker();
                lowestShare = freeShare;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Workers on which a job may run, without those where it failed unless there are no others. */
    static Stream<WorkerSnapshot> candidates(JobPlanBuilder plan, WaitingJob job) {
        boolean failedEverywhere = failedEverywhere(plan, job);
        return plan.schedulableWorkers().stream()
                .filter(worker -> isCandidate(worker, job, failedEverywhere));
    }

    private static boolean isCandidate(
            WorkerSnapshot worker, WaitingJob job, boolean failedEverywhere) {
        return worker.serves(job.spec())
                && (failedEverywhere || !job.avoid().contains(worker.worker()));
    }

    private static boolean failedEverywhere(JobPlanBuilder plan, WaitingJob job) {
        return !job.avoid().isEmpty()
                && plan.schedulableWorkers().stream()
                        .filter(worker -> worker.serves(job.spec()))
                        .allMatch(worker -> job.avoid().contains(worker.worker()));
    }

    /** A team in the priority queue of teams, with its weighted share at that time. */
    private record TeamRank(TeamId team, double weightedShare) {}
}
