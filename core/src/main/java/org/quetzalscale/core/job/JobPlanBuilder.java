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

/**
 * Working state of one scheduling round: free resources, usage of each team, and the decisions made
 * so far.
 */
final class JobPlanBuilder {
    private final FleetSnapshot snapshot;
    private final List<WorkerSnapshot> schedulableWorkers = new ArrayList<>();
    private final Map<TeamId, TeamSnapshot> teams = new TreeMap<>();
    private final Map<WorkerId, Resources> free = new HashMap<>();
    private final Map<WorkerId, Resources> pendingFree = new HashMap<>();
    private final Map<WorkerId, List<RunningJob>> running = new HashMap<>();
    private final Map<String, Map<WorkerId, List<RunningJob>>> sortedRunning = new HashMap<>();
    private final Map<TeamId, Resources> used = new TreeMap<>();
    private final Map<TeamId, Resources> urgentUsed = new TreeMap<>();
    private final Map<TeamId, Integer> freeUnits = new HashMap<>();
    private final Map<TeamId, Integer> pendingUnits = new HashMap<>();
    private final Map<TeamId, Resources> entitled;
    private final Set<JobId> changedJobs = new HashSet<>();
    private final Resources capacity;
    private final List<JobPlan.Start> starts = new ArrayList<>();
    private final List<JobPlan.Stop> stops = new ArrayList<>();
    private final List<JobPlan.Throttle> throttles = new ArrayList<>();

    JobPlanBuilder(FleetSnapshot snapshot) {
        this.snapshot = snapshot;
        Resources total = Resources.NONE;
        for (WorkerSnapshot worker : snapshot.workers()) {
            free.put(worker.worker(), worker.capacity());
            if (worker.accepts()) {
                schedulableWorkers.add(worker);
                total = total.plus(worker.capacity());
            }
        }
        capacity = total;
        for (TeamSnapshot team : snapshot.teams()) {
            teams.put(team.team(), team);
            freeUnits.put(team.team(), team.freeUnits());
        }
        for (RunningJob job : snapshot.running()) {
            allocate(job.worker(), job.team(), job.use());
            running.computeIfAbsent(job.worker(), key -> new ArrayList<>()).add(job);
            if (job.spec().urgent()) {
                urgentUsed.merge(job.team(), job.use(), Resources::plus);
            }
            if (job.stopping()) {
                addPendingFree(job);
            }
        }
        entitled = MaxMinShare.divide(capacity, demands());
    }

    FleetSnapshot snapshot() {
        return snapshot;
    }

    /** Workers that accept new jobs. */
    List<WorkerSnapshot> schedulableWorkers() {
        return schedulableWorkers;
    }

    /** Teams that use at least their entitlement. */
    Set<TeamId> borrowers() {
        Set<TeamId> borrowers = new HashSet<>();
        for (TeamId team : used.keySet()) {
            if (isAtEntitlementWithout(team, Resources.NONE)) {
                borrowers.add(team);
            }
        }
        return borrowers;
    }

    List<RunningJob> runningOn(WorkerId worker) {
        return running.getOrDefault(worker, List.of());
    }

    /**
     * The jobs on a worker in the given order. The result is cached under the name of the order.
     */
    List<RunningJob> runningOn(WorkerId worker, String name, Comparator<RunningJob> order) {
        return sortedRunning
                .computeIfAbsent(name, key -> new HashMap<>())
                .computeIfAbsent(worker, key -> runningOn(key).stream().sorted(order).toList());
    }

    Resources free(WorkerId worker) {
        return free.getOrDefault(worker, Resources.NONE);
    }

    /** Free resources of a worker once all jobs that are being stopped have ended. */
    Resources freeAfterStops(WorkerId worker) {
        return free(worker).plus(pendingFree.getOrDefault(worker, Resources.NONE));
    }

    boolean hasUnits(WaitingJob job) {
        return freeUnits.getOrDefault(job.team(), 0) >= job.spec().slots();
    }

    boolean hasUnitsAfterStops(WaitingJob job) {
        return freeUnits.getOrDefault(job.team(), 0) + pendingUnits.getOrDefault(job.team(), 0)
                >= job.spec().slots();
    }

    /** A team's dominant share of the fleet divided by its weight; the lowest is served first. */
    double weightedShare(TeamId team) {
        return dominantShare(used.getOrDefault(team, Resources.NONE)) / teams.get(team).weight();
    }

    boolean hasTeam(TeamId team) {
        return teams.containsKey(team);
    }

    /** Whether a team stays within its entitlement if it uses this much more. */
    boolean isWithinEntitlement(TeamId team, Resources more) {
        return isWithin(used.getOrDefault(team, Resources.NONE).plus(more), team);
    }

    /** Whether a team's urgent jobs alone stay within its entitlement with this much more. */
    boolean isUrgentWithinEntitlement(TeamId team, Resources more) {
        return isWithin(urgentUsed.getOrDefault(team, Resources.NONE).plus(more), team);
    }

    /** Whether a team still has at least its entitlement if it loses this much. */
    boolean isAtEntitlementWithout(TeamId team, Resources use) {
        Resources rest = used.getOrDefault(team, Resources.NONE).minus(use);
        return dominantShare(rest)
                >= dominantShare(entitled.getOrDefault(team, Resources.NONE)) - 1e-9;
    }

    /** Whether a job is neither being stopped nor already changed by this plan. */
    boolean isChangeable(RunningJob job) {
        return !job.stopping() && !changedJobs.contains(job.stored().job().id());
    }

    void start(WaitingJob job, WorkerId worker) {
        reserve(job, worker);
        if (job.spec().urgent()) {
            urgentUsed.merge(job.team(), job.need(), Resources::plus);
        }
        starts.add(new JobPlan.Start(job, worker));
    }

    /** Allocates resources and units to a waiting job, some of which may still have to be freed. */
    void reserve(WaitingJob job, WorkerId worker) {
        allocate(worker, job.team(), job.need());
        freeUnits.merge(job.team(), -job.spec().slots(), Integer::sum);
    }

    void stop(RunningJob job, boolean checkpointFirst, String reason) {
        changedJobs.add(job.stored().job().id());
        addPendingFree(job);
        stops.add(new JobPlan.Stop(job, checkpointFirst, reason));
    }

    void throttle(RunningJob job, int percent, double freedCores) {
        changedJobs.add(job.stored().job().id());
        free.merge(job.worker(), new Resources(freedCores, 0, 0, 0), Resources::plus);
        throttles.add(new JobPlan.Throttle(job, percent));
    }

    JobPlan build() {
        return new JobPlan(starts, stops, throttles, entitled, used);
    }

    private void addPendingFree(RunningJob job) {
        pendingFree.merge(job.worker(), job.use(), Resources::plus);
        pendingUnits.merge(job.team(), job.spec().slots(), Integer::sum);
        used.merge(job.team(), job.use().times(-1), Resources::plus);
    }

    private void allocate(WorkerId worker, TeamId team, Resources amount) {
        free.merge(worker, amount.times(-1), Resources::plus);
        used.merge(team, amount, Resources::plus);
    }

    private boolean isWithin(Resources amount, TeamId team) {
        return dominantShare(amount)
                <= dominantShare(entitled.getOrDefault(team, Resources.NONE)) + 1e-9;
    }

    private double dominantShare(Resources amount) {
        return amount.dominantPart(capacity);
    }

    private List<TeamDemand> demands() {
        Map<TeamId, Resources> demand = new TreeMap<>(used);
        for (WaitingJob job : snapshot.waiting()) {
            demand.merge(job.team(), job.need(), Resources::plus);
        }
        List<TeamDemand> demands = new ArrayList<>();
        for (TeamSnapshot team : snapshot.teams()) {
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
