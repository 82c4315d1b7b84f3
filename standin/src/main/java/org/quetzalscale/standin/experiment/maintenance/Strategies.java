package org.quetzalscale.standin.experiment.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.DrainReason;
import org.quetzalscale.core.maintenance.FleetState;
import org.quetzalscale.core.maintenance.PlannedDrain;
import org.quetzalscale.core.maintenance.PoolBudget;
import org.quetzalscale.core.maintenance.WavePlanner;
import org.quetzalscale.core.maintenance.WaveRow;
import org.quetzalscale.core.placement.Move;
import org.quetzalscale.core.placement.MovePlanner;
import org.quetzalscale.core.placement.PoolNeeds;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;

/** The strategies that the experiment compares. */
final class Strategies {
    private Strategies() {}

    /** The policy of the product. */
    static WaveStrategy planner() {
        return state -> WavePlanner.plan(state).drains();
    }

    static WaveStrategy noWave() {
        return state -> List.of();
    }

    /** The next worker when no other is out of service. */
    static WaveStrategy oneAtATime() {
        return state -> isAnyOut(state) ? List.of() : due(state).stream().limit(1).toList();
    }

    /** All workers of the next rack when no other worker is out of service. */
    static WaveStrategy wholeRacks() {
        return state -> {
            List<PlannedDrain> due = due(state);
            if (isAnyOut(state) || due.isEmpty()) {
                return List.of();
            }
            RackId rack = rack(state, due.get(0).worker());
            return due.stream().filter(d -> rack(state, d.worker()).equals(rack)).toList();
        };
    }

    private static RackId rack(FleetState state, WorkerId worker) {
        return state.snapshot().worker(worker).orElseThrow().rack();
    }

    private static boolean isAnyOut(FleetState state) {
        return state.snapshot().all(Kind.ASSIGNMENTS).values().stream()
                .anyMatch(v -> ((AssignmentSpec) v.spec()).phase() != WorkerPhase.ACTIVE);
    }

    private static List<PlannedDrain> due(FleetState state) {
        WaveRow row = state.waves().get(FleetModel.WAVE);
        List<PlannedDrain> due = new ArrayList<>();
        state.snapshot()
                .all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) -> {
                            WorkerId worker = new WorkerId(name);
                            PoolId pool = ((AssignmentSpec) versioned.spec()).pool();
                            if (!row.contains(worker)) {
                                due.add(
                                        new PlannedDrain(
                                                worker, pool, DrainReason.wave(FleetModel.WAVE)));
                            }
                        });
        return due;
    }

    /** The policy of the product. */
    static MoveStrategy movePlanner() {
        MovePlanner planner = new MovePlanner();
        return (snapshot, needs, nowMillis) ->
                planner.plan(snapshot, worker -> true, needs, nowMillis);
    }

    static MoveStrategy staticPools() {
        return (snapshot, needs, nowMillis) -> List.of();
    }

    /**
     * Moves a worker at once from the pool with the largest surplus to each pool that lacks one.
     */
    static MoveStrategy greedy() {
        return (snapshot, needs, nowMillis) -> greedyMoves(snapshot, needs);
    }

    private static List<Move> greedyMoves(ConfigSnapshot snapshot, PoolNeeds needs) {
        Map<PoolId, Integer> surplus = new TreeMap<>();
        PoolBudget.all(snapshot, worker -> true)
                .forEach(
                        (pool, budget) -> {
                            int wanted =
                                    Math.max(budget.floor(), needs.workers().getOrDefault(pool, 0));
                            surplus.put(pool, budget.healthy() - wanted);
                        });
        Map<PoolId, WorkerId> first = new HashMap<>();
        snapshot.all(Kind.ASSIGNMENTS)
                .forEach(
                        (name, versioned) -> {
                            AssignmentSpec assignment = (AssignmentSpec) versioned.spec();
                            if (assignment.phase() == WorkerPhase.ACTIVE) {
                                first.putIfAbsent(assignment.pool(), new WorkerId(name));
                            }
                            new DrainReason(assignment.reason())
                                    .moveTarget()
                                    .ifPresent(to -> surplus.merge(to, 1, Integer::sum));
                        });
        List<Move> moves = new ArrayList<>();
        for (PoolId pool : Set.copyOf(surplus.keySet())) {
            PoolId donor =
                    surplus.entrySet().stream()
                            .max(Map.Entry.comparingByValue())
                            .orElseThrow()
                            .getKey();
            if (surplus.get(pool) < 0 && surplus.get(donor) > 0) {
                moves.add(new Move(first.get(donor), donor, pool));
                surplus.merge(donor, -1, Integer::sum);
            }
        }
        return moves;
    }
}
