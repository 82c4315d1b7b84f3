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
 * Decides which jobs start on which workers, in order of team share, urgency, priority and
 * deadline. What does not fit is handed to {@link Preemption}. Holds no state.
 */
public final class JobScheduler {
    /** Time after which a worker is kept free for a job that fits nowhere, in milliseconds. */
    private static final long RESERVE_AFTER_MILLIS = 10_000;

    /** At most one worker in so many is kept free. */
    private static final int WORKERS_PER_RESERVATION = 8;

    /** Jobs of one team that a plan passes over before it leaves the rest to the next. */
    private static final int MAX_UNPLACED_PER_TEAM = 64;

    private JobScheduler() {}

    /** Makes a plan for the fleet as it is. */
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

    /** Small jobs would otherwise refill a worker forever before a large one fits. */
    private static Set<WorkerId> reserve(
            JobPlanBuilder plan, Map<TeamId, Deque<WaitingJob>> queues) {
        Set<WorkerId> reserved = new HashSet<>();
        int allowed = plan.snapshot().workers().size() / WORKERS_PER_RESERVATION;
        for (TeamId team : byWeightedShare(plan, queues)) {
            WaitingJob job = queues.get(team).peek();
            long waitedMillis = plan.snapshot().nowMillis() - job.job().submittedAtMillis();
            if (reserved.size() >= allowed
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
     * Urgent work goes ahead of all other work as long as a team's urgent work alone is within its
     * entitlement; what else the team has beyond it is reclaimed afterwards.
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

    /** Whether a job fits nowhere because another one with no larger need did not. */
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

    /** The fullest worker with room, so that large jobs find empty ones. */
    private static Optional<WorkerId> bestFit(
            JobPlanBuilder plan, WaitingJob job, Set<WorkerId> reserved) {
        boolean failedEverywhere = failedEverywhere(plan, job);
        WorkerId best = null;
        double least = Double.MAX_VALUE;
        for (WorkerSnapshot worker : plan.schedulableWorkers()) {
            Resources free = plan.free(worker.worker());
            if (free.slots() < job.need().slots()
                    || !job.need().fitsIn(free)
                    || !isCandidate(worker, job, failedEverywhere)
                    || reserved.contains(worker.worker())) {
                continue;
            }
            double part = free.dominantPart(worker.capacity());
            if (part < least) {
                best = worker.worker();
                least = part;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Workers on which a job may run: not those where it failed, unless there is no other. */
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

    /** A team's place in the order of starts. */
    private record TeamRank(TeamId team, double weightedShare) {}
}
