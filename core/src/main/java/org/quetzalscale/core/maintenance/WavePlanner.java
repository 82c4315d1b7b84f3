package org.quetzalscale.core.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.WaveId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/**
 * Decides which workers to drain next, for all waves and declared drains.
 *
 * <p>A plan reserves nothing; each drain is granted or rejected by its own transaction.
 */
public final class WavePlanner {
    private static final Comparator<Candidate> BY_DOMAIN =
            Comparator.comparing((Candidate c) -> c.spec.zone())
                    .thenComparing(c -> c.spec.rack())
                    .thenComparing(c -> c.worker);

    private final FleetState state;
    private final Map<PoolId, Integer> spare = new TreeMap<>();
    private final Map<WaveId, Integer> inMaintenanceByWave = new HashMap<>();
    private final Map<PoolId, Set<RackId>> racksInMaintenance = new HashMap<>();
    private final Map<PoolId, Map<RackId, Integer>> healthyByRack = new HashMap<>();
    private final List<Candidate> active = new ArrayList<>();
    private final List<PlannedDrain> drains = new ArrayList<>();
    private final Set<PoolId> due = new TreeSet<>();
    private final Set<WorkerId> planned = new HashSet<>();
    private ZoneId zoneInMaintenance;

    private WavePlanner(FleetState state) {
        this.state = state;
        PoolBudget.all(state.snapshot(), state.live())
                .forEach((pool, budget) -> spare.put(pool, budget.spare()));
        state.snapshot().all(Kind.ASSIGNMENTS).forEach(this::addAssignment);
        active.sort(BY_DOMAIN);
    }

    /** Returns the drains to request now: declared drains first, then those of waves. */
    public static WavePlan plan(FleetState state) {
        WavePlanner planner = new WavePlanner(state);
        planner.planDeclared();
        state.snapshot().all(Kind.WAVES).forEach(planner::planWave);
        return new WavePlan(planner.drains, planner.due);
    }

    /** Returns the workers that a wave has yet to maintain, without those that failed otherwise. */
    public static List<WorkerId> remaining(FleetState state, WaveId wave, WaveSpec spec) {
        List<WorkerId> workers = new ArrayList<>();
        WaveRow row = state.waves().getOrDefault(wave, WaveRow.started(0));
        state.snapshot()
                .all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) -> {
                            AssignmentSpec assignment = (AssignmentSpec) versioned.spec();
                            WorkerId worker = new WorkerId(name);
                            if (covers(spec, assignment.pool())
                                    && assignment.phase() != WorkerPhase.FAILED
                                    && !row.contains(worker)) {
                                workers.add(worker);
                            }
                        });
        return workers;
    }

    private static boolean covers(WaveSpec wave, PoolId pool) {
        return wave.pools().isEmpty() || wave.pools().contains(pool);
    }

    private void addAssignment(String name, Versioned versioned) {
        WorkerId worker = new WorkerId(name);
        Optional<WorkerSpec> spec = state.snapshot().worker(worker);
        if (spec.isEmpty()) {
            return;
        }
        AssignmentSpec assignment = (AssignmentSpec) versioned.spec();
        Candidate candidate = new Candidate(worker, assignment.pool(), spec.get());
        if (assignment.phase() == WorkerPhase.ACTIVE) {
            active.add(candidate);
            if (state.live().test(worker)) {
                rackCounts(candidate.pool).merge(spec.get().rack(), 1, Integer::sum);
            }
            return;
        }
        Optional<WaveId> wave = new DrainReason(assignment.reason()).wave();
        if (assignment.phase() != WorkerPhase.FAILED && wave.isPresent()) {
            addToMaintenance(candidate, wave.get());
        }
    }

    private Map<RackId, Integer> rackCounts(PoolId pool) {
        return healthyByRack.computeIfAbsent(pool, p -> new HashMap<>());
    }

    private void addToMaintenance(Candidate candidate, WaveId wave) {
        inMaintenanceByWave.merge(wave, 1, Integer::sum);
        racksInMaintenance
                .computeIfAbsent(candidate.pool, p -> new HashSet<>())
                .add(candidate.spec.rack());
        zoneInMaintenance = candidate.spec.zone();
    }

    private void planDeclared() {
        for (Candidate candidate : active) {
            if (candidate.spec.drain() && hasSpare(candidate)) {
                add(candidate, DrainReason.DECLARED);
            }
        }
    }

    private void planWave(String name, Versioned versioned) {
        WaveId wave = new WaveId(name);
        WaveSpec spec = (WaveSpec) versioned.spec();
        WaveRow row = state.waves().getOrDefault(wave, WaveRow.started(0));
        if (spec.paused() || spec.aborted() || row.stoppedAt() == versioned.revision().value()) {
            return;
        }
        ZoneId nextZone = null;
        for (Candidate candidate : active) {
            boolean isDue = covers(spec, candidate.pool) && !row.contains(candidate.worker);
            if (!isDue || planned.contains(candidate.worker)) {
                continue;
            }
            nextZone = nextZone == null ? candidate.spec.zone() : nextZone;
            if (candidate
                    .spec
                    .zone()
                    .equals(zoneInMaintenance == null ? nextZone : zoneInMaintenance)) {
                due.add(candidate.pool);
            }
            if (hasSpare(candidate)
                    && inMaintenanceByWave.getOrDefault(wave, 0) < spec.maxParallel()
                    && !state.bursting().contains(candidate.pool)
                    && permitsDomain(candidate)) {
                add(candidate, DrainReason.wave(wave));
                addToMaintenance(candidate, wave);
            }
        }
    }

    private boolean hasSpare(Candidate candidate) {
        int cost = state.live().test(candidate.worker) ? 1 : 0;
        return spare.getOrDefault(candidate.pool, 0) >= cost;
    }

    /**
     * Returns whether maintenance may start in the candidate's zone and rack. Only one zone is in
     * maintenance at a time. A second rack of a pool is permitted only if the pool would stay at or
     * above its floor even if all racks in maintenance failed, because failures within a wave are
     * correlated.
     */
    private boolean permitsDomain(Candidate candidate) {
        if (zoneInMaintenance != null && !zoneInMaintenance.equals(candidate.spec.zone())) {
            return false;
        }
        Set<RackId> racks =
                new HashSet<>(racksInMaintenance.getOrDefault(candidate.pool, Set.of()));
        boolean isSameRack = racks.isEmpty() || racks.equals(Set.of(candidate.spec.rack()));
        if (isSameRack) {
            return true;
        }
        racks.add(candidate.spec.rack());
        int healthyInRacks =
                racks.stream()
                        .mapToInt(rack -> rackCounts(candidate.pool).getOrDefault(rack, 0))
                        .sum();
        return spare.getOrDefault(candidate.pool, 0) >= healthyInRacks;
    }

    private void add(Candidate candidate, DrainReason reason) {
        drains.add(new PlannedDrain(candidate.worker, candidate.pool, reason));
        planned.add(candidate.worker);
        if (state.live().test(candidate.worker)) {
            spare.merge(candidate.pool, -1, Integer::sum);
            rackCounts(candidate.pool).merge(candidate.spec.rack(), -1, Integer::sum);
        }
    }

    private record Candidate(WorkerId worker, PoolId pool, WorkerSpec spec) {}
}
