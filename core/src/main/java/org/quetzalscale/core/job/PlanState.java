package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.MaxMinShare;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.share.TeamDemand;

/** The fleet while one plan is made: what is free, who uses how much, and what was decided. */
final class PlanState {
    private final FleetView view;
    private final List<WorkerView> accepting = new ArrayList<>();
    private final Map<TeamId, TeamView> teams = new TreeMap<>();
    private final Map<WorkerId, Resources> free = new HashMap<>();
    private final Map<WorkerId, Resources> coming = new HashMap<>();
    private final Map<WorkerId, List<RunningJob>> running = new HashMap<>();
    private final Map<String, Map<WorkerId, List<RunningJob>>> sorted = new HashMap<>();
    private final Map<TeamId, Resources> used = new TreeMap<>();
    private final Map<TeamId, Resources> urgentUsed = new TreeMap<>();
    private final Map<TeamId, Integer> freeUnits = new HashMap<>();
    private final Map<TeamId, Integer> comingUnits = new HashMap<>();
    private final Map<TeamId, Resources> entitled;
    private final Set<JobId> touched = new HashSet<>();
    private final Resources capacity;
    private final List<JobPlan.Start> starts = new ArrayList<>();
    private final List<JobPlan.Stop> stops = new ArrayList<>();
    private final List<JobPlan.Throttle> throttles = new ArrayList<>();

    PlanState(FleetView view) {
        this.view = view;
        Resources total = Resources.NONE;
        for (WorkerView worker : view.workers()) {
            free.put(worker.worker(), worker.capacity());
            if (worker.accepts()) {
                accepting.add(worker);
                total = total.plus(worker.capacity());
            }
        }
        capacity = total;
        for (TeamView team : view.teams()) {
            teams.put(team.team(), team);
            freeUnits.put(team.team(), team.freeUnits());
        }
        for (RunningJob job : view.running()) {
            occupy(job.worker(), job.team(), job.use());
            running.computeIfAbsent(job.worker(), key -> new ArrayList<>()).add(job);
            if (job.spec().urgent()) {
                urgentUsed.merge(job.team(), job.use(), Resources::plus);
            }
            if (job.stopping()) {
                expect(job);
            }
        }
        entitled = MaxMinShare.divide(capacity, demands());
    }

    FleetView view() {
        return view;
    }

    /** Workers that take new work. */
    List<WorkerView> accepting() {
        return accepting;
    }

    /** Teams that have more than their entitlement. */
    Set<TeamId> borrowers() {
        Set<TeamId> borrowers = new HashSet<>();
        for (TeamId team : used.keySet()) {
            if (isBorrowed(team, Resources.NONE)) {
                borrowers.add(team);
            }
        }
        return borrowers;
    }

    List<RunningJob> runningOn(WorkerId worker) {
        return running.getOrDefault(worker, List.of());
    }

    /** The jobs on a worker in this order, sorted once for each name of an order. */
    List<RunningJob> runningOn(WorkerId worker, String name, Comparator<RunningJob> order) {
        return sorted.computeIfAbsent(name, key -> new HashMap<>())
                .computeIfAbsent(worker, key -> runningOn(key).stream().sorted(order).toList());
    }

    Resources free(WorkerId worker) {
        return free.getOrDefault(worker, Resources.NONE);
    }

    /** What will be free on a worker once everything that is being stopped has ended. */
    Resources comingFree(WorkerId worker) {
        return free(worker).plus(coming.getOrDefault(worker, Resources.NONE));
    }

    boolean hasUnits(WaitingJob job) {
        return freeUnits.getOrDefault(job.team(), 0) >= job.spec().slots();
    }

    boolean willHaveUnits(WaitingJob job) {
        return freeUnits.getOrDefault(job.team(), 0) + comingUnits.getOrDefault(job.team(), 0)
                >= job.spec().slots();
    }

    /** A team's dominant part of the fleet per weight; the lowest is served first. */
    double ratio(TeamId team) {
        return part(used.getOrDefault(team, Resources.NONE)) / teams.get(team).weight();
    }

    boolean knows(TeamId team) {
        return teams.containsKey(team);
    }

    /** Whether a team stays within its entitlement with so much more. */
    boolean isEntitled(TeamId team, Resources more) {
        return within(used.getOrDefault(team, Resources.NONE).plus(more), team);
    }

    /** Whether a team's urgent work alone stays within its entitlement with so much more. */
    boolean isEntitledToUrgent(TeamId team, Resources more) {
        return within(urgentUsed.getOrDefault(team, Resources.NONE).plus(more), team);
    }

    /** Whether a team has at least its entitlement without so much. */
    boolean isBorrowed(TeamId team, Resources use) {
        Resources rest = used.getOrDefault(team, Resources.NONE).minus(use);
        return part(rest) >= part(entitled.getOrDefault(team, Resources.NONE)) - 1e-9;
    }

    boolean isUntouched(RunningJob job) {
        return !job.stopping() && !touched.contains(job.stored().job().id());
    }

    void start(WaitingJob job, WorkerId worker) {
        reserve(job, worker);
        if (job.spec().urgent()) {
            urgentUsed.merge(job.team(), job.need(), Resources::plus);
        }
        starts.add(new JobPlan.Start(job, worker));
    }

    /** Keeps room, some of which is still to be freed, for a job that starts in a later plan. */
    void reserve(WaitingJob job, WorkerId worker) {
        occupy(worker, job.team(), job.need());
        freeUnits.merge(job.team(), -job.spec().slots(), Integer::sum);
    }

    void stop(RunningJob job, boolean checkpointFirst, String reason) {
        touched.add(job.stored().job().id());
        expect(job);
        stops.add(new JobPlan.Stop(job, checkpointFirst, reason));
    }

    void throttle(RunningJob job, int percent, double freedCores) {
        touched.add(job.stored().job().id());
        free.merge(job.worker(), new Resources(freedCores, 0, 0, 0), Resources::plus);
        throttles.add(new JobPlan.Throttle(job, percent));
    }

    JobPlan plan() {
        return new JobPlan(starts, stops, throttles, entitled, used);
    }

    private void expect(RunningJob job) {
        coming.merge(job.worker(), job.use(), Resources::plus);
        comingUnits.merge(job.team(), job.spec().slots(), Integer::sum);
        used.merge(job.team(), job.use().times(-1), Resources::plus);
    }

    private void occupy(WorkerId worker, TeamId team, Resources amount) {
        free.merge(worker, amount.times(-1), Resources::plus);
        used.merge(team, amount, Resources::plus);
    }

    private boolean within(Resources amount, TeamId team) {
        return part(amount) <= part(entitled.getOrDefault(team, Resources.NONE)) + 1e-9;
    }

    private double part(Resources amount) {
        return amount.dominantPart(capacity);
    }

    private List<TeamDemand> demands() {
        Map<TeamId, Resources> demand = new TreeMap<>(used);
        for (WaitingJob job : view.waiting()) {
            demand.merge(job.team(), job.need(), Resources::plus);
        }
        List<TeamDemand> demands = new ArrayList<>();
        for (TeamView team : view.teams()) {
            Resources wanted = demand.getOrDefault(team.team(), Resources.NONE);
            demands.add(
                    new TeamDemand(
                            team.team(),
                            team.weight(),
                            Math.max(0, team.jobLimit()),
                            wanted.max(Resources.NONE)));
        }
        return demands;
    }
}
