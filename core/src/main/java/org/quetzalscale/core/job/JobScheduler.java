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
 * deadline. What does not fit is handed to {@link Reclaim}. Holds no state.
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
    public static JobPlan plan(FleetView view) {
        PlanState state = new PlanState(view);
        Map<TeamId, Deque<WaitingJob>> queues = queues(state);
        List<WaitingJob> unplaced = new ArrayList<>();
        Set<WorkerId> kept = reserve(state, queues);
        startUrgent(state, queues);
        startByShare(state, queues, kept, unplaced);
        Reclaim.apply(state, unplaced);
        return state.plan();
    }

    private static Map<TeamId, Deque<WaitingJob>> queues(PlanState state) {
        Map<TeamId, List<WaitingJob>> jobs = new TreeMap<>();
        for (WaitingJob job : state.view().waiting()) {
            if (state.knows(job.team())) {
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
    private static Set<WorkerId> reserve(PlanState state, Map<TeamId, Deque<WaitingJob>> queues) {
        Set<WorkerId> kept = new HashSet<>();
        int allowed = state.view().workers().size() / WORKERS_PER_RESERVATION;
        for (TeamId team : byRatio(state, queues)) {
            WaitingJob job = queues.get(team).peek();
            long waitedMillis = state.view().nowMillis() - job.job().submittedAtMillis();
            if (kept.size() >= allowed
                    || waitedMillis < RESERVE_AFTER_MILLIS
                    || !state.hasUnits(job)
                    || !state.isEntitled(team, job.need())
                    || bestFit(state, job, kept).isPresent()) {
                continue;
            }
            candidates(state, job)
                    .filter(worker -> !kept.contains(worker.worker()))
                    .filter(worker -> job.need().fitsIn(worker.capacity()))
                    .min(
                            Comparator.comparingDouble(
                                    worker ->
                                            worker.capacity()
                                                    .minus(state.comingFree(worker.worker()))
                                                    .dominantPart(worker.capacity())))
                    .ifPresent(worker -> kept.add(worker.worker()));
        }
        return kept;
    }

    private static List<TeamId> byRatio(PlanState state, Map<TeamId, Deque<WaitingJob>> queues) {
        return queues.keySet().stream().sorted(Comparator.comparingDouble(state::ratio)).toList();
    }

    /**
     * Urgent work goes ahead of all other work as long as a team's urgent work alone is within its
     * entitlement; what else the team has beyond it is reclaimed afterwards.
     */
    private static void startUrgent(PlanState state, Map<TeamId, Deque<WaitingJob>> queues) {
        for (TeamId team : byRatio(state, queues)) {
            Deque<WaitingJob> queue = queues.get(team);
            while (!queue.isEmpty() && queue.peek().spec().urgent()) {
                WaitingJob job = queue.peek();
                if (!state.isEntitledToUrgent(team, job.need())
                        || !tryStart(state, job, Set.of())) {
                    break;
                }
                queue.poll();
            }
        }
    }

    private static void startByShare(
            PlanState state,
            Map<TeamId, Deque<WaitingJob>> queues,
            Set<WorkerId> kept,
            List<WaitingJob> unplaced) {
        PriorityQueue<Turn> turns =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Turn::ratio).thenComparing(Turn::team));
        queues.keySet().forEach(team -> turns.add(new Turn(team, state.ratio(team))));
        Map<TeamId, Integer> passedOver = new HashMap<>();
        List<WaitingJob> failed = new ArrayList<>();
        while (!turns.isEmpty()) {
            TeamId team = turns.poll().team();
            WaitingJob job = queues.get(team).poll();
            if (job == null) {
                continue;
            }
            boolean hopeless = failed.stream().anyMatch(other -> isAtLeast(job, other));
            if (hopeless || !tryStart(state, job, kept)) {
                unplaced.add(job);
                if (!hopeless && state.hasUnits(job)) {
                    failed.add(job);
                }
                if (passedOver.merge(team, 1, Integer::sum) >= MAX_UNPLACED_PER_TEAM) {
                    continue;
                }
            }
            turns.add(new Turn(team, state.ratio(team)));
        }
    }

    /** Whether a job fits nowhere because another one with no larger need did not. */
    private static boolean isAtLeast(WaitingJob job, WaitingJob failed) {
        return failed.avoid().isEmpty()
                && (failed.spec().pool().isEmpty()
                        || failed.spec().pool().equals(job.spec().pool()))
                && failed.need().fitsIn(job.need());
    }

    private static boolean tryStart(PlanState state, WaitingJob job, Set<WorkerId> kept) {
        if (!state.hasUnits(job)) {
            return false;
        }
        Optional<WorkerId> worker = bestFit(state, job, kept);
        worker.ifPresent(target -> state.start(job, target));
        return worker.isPresent();
    }

    /** The fullest worker with room, so that large jobs find empty ones. */
    private static Optional<WorkerId> bestFit(PlanState state, WaitingJob job, Set<WorkerId> kept) {
        boolean anywhere = failedEverywhere(state, job);
        WorkerId best = null;
        double least = Double.MAX_VALUE;
        for (WorkerView worker : state.accepting()) {
            Resources free = state.free(worker.worker());
            if (free.slots() < job.need().slots()
                    || !job.need().fitsIn(free)
                    || !isCandidate(worker, job, anywhere)
                    || kept.contains(worker.worker())) {
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
    static Stream<WorkerView> candidates(PlanState state, WaitingJob job) {
        boolean anywhere = failedEverywhere(state, job);
        return state.accepting().stream().filter(worker -> isCandidate(worker, job, anywhere));
    }

    private static boolean isCandidate(WorkerView worker, WaitingJob job, boolean anywhere) {
        return worker.serves(job.spec()) && (anywhere || !job.avoid().contains(worker.worker()));
    }

    private static boolean failedEverywhere(PlanState state, WaitingJob job) {
        return !job.avoid().isEmpty()
                && state.accepting().stream()
                        .filter(worker -> worker.serves(job.spec()))
                        .allMatch(worker -> job.avoid().contains(worker.worker()));
    }

    /** A team's place in the order of starts. */
    private record Turn(TeamId team, double ratio) {}
}
