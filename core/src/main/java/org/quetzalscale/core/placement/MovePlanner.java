package org.quetzalscale.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.DrainReason;
import org.quetzalscale.core.maintenance.PoolBudget;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/**
 * Decides which workers to move between pools, by the cost weights of the declared deployment.
 *
 * <p>Without a declared deployment no pool borrows workers, and workers only return to their
 * declared pools. Not thread-safe.
 */
public final class MovePlanner {
    /**
     * Cost of a move in worker-seconds: the drain takes 5 s to take effect and the last requests
     * some more, and each of the two transactions delays other changes.
     */
    public static final double MOVE_WORKER_SECONDS = 30;

    /**
     * Longest interval between two planning rounds that counts, in seconds; nothing is known of the
     * demand during a longer pause.
     */
    private static final double MAX_INTERVAL_SECONDS = 5;

    private static final DeploymentSpec UNDECLARED = new DeploymentSpec(1, 0, 0, 0);

    private final Map<PoolId, PoolBalance> balances = new HashMap<>();
    private long lastMillis = Long.MIN_VALUE;

    /**
     * Returns the moves to request now.
     *
     * @param live whether the platform lists a worker as live
     * @param nowMillis monotonic time in milliseconds
     */
    public List<Move> plan(
            ConfigSnapshot snapshot, Predicate<WorkerId> live, PoolNeeds needs, long nowMillis) {
        double seconds =
                lastMillis == Long.MIN_VALUE
                        ? 0
                        : Math.min(MAX_INTERVAL_SECONDS, (nowMillis - lastMillis) / 1_000.0);
        lastMillis = nowMillis;
        return new PlanningRound(snapshot, live, needs).plan(seconds);
    }

    /** One planning round on a snapshot of the fleet. */
    private final class PlanningRound {
        private final ConfigSnapshot snapshot;
        private final Predicate<WorkerId> live;
        private final PoolNeeds needs;
        private final DeploymentSpec weights;
        private final double limit;
        private final Map<PoolId, Integer> healthy = new TreeMap<>();
        private final Map<PoolId, Integer> floors = new HashMap<>();
        private final Map<PoolId, Integer> arriving = new HashMap<>();
        private final Map<PoolId, List<WorkerId>> active = new HashMap<>();
        private final Set<PoolId> leaving = new HashSet<>();
        private final List<Move> moves = new ArrayList<>();

        private PlanningRound(ConfigSnapshot snapshot, Predicate<WorkerId> live, PoolNeeds needs) {
            this.snapshot = snapshot;
            this.live = live;
            this.needs = needs;
            this.weights =
                    snapshot.all(Kind.DEPLOYMENTS).values().stream()
                            .findFirst()
                            .map(versioned -> (DeploymentSpec) versioned.spec())
                            .orElse(UNDECLARED);
            this.limit = weights.moves() * MOVE_WORKER_SECONDS;
            PoolBudget.all(snapshot, live)
                    .forEach(
                            (pool, budget) -> {
                                healthy.put(pool, budget.healthy());
                                floors.put(pool, budget.floor());
                            });
            snapshot.all(Kind.ASSIGNMENTS)
                    .forEach(
                            (name, versioned) ->
                                    addAssignment(
                                            new WorkerId(name), (AssignmentSpec) versioned.spec()));
        }

        private void addAssignment(WorkerId worker, AssignmentSpec assignment) {
            DrainReason reason = new DrainReason(assignment.reason());
            if (assignment.phase() == WorkerPhase.ACTIVE) {
                if (live.test(worker)) {
                    active.computeIfAbsent(assignment.pool(), p -> new ArrayList<>()).add(worker);
                }
            } else if (reason.moveTarget().isPresent()) {
                arriving.merge(reason.moveTarget().get(), 1, Integer::sum);
                leaving.add(assignment.pool());
            } else if (reason.wave().isPresent() && assignment.phase() != WorkerPhase.FAILED) {
                arriving.merge(assignment.pool(), 1, Integer::sum);
            }
        }

        private List<Move> plan(double seconds) {
            healthy.keySet().forEach(pool -> addCost(pool, seconds));
            healthy.keySet().stream()
                    .filter(pool -> balance(pool).isShort(limit))
                    .filter(pool -> shortage(pool) > 0)
                    .sorted(Comparator.comparing(this::shortage).reversed())
                    .forEach(this::borrow);
            healthy.keySet().stream().filter(pool -> surplus(pool) > 0).forEach(this::returnWorker);
            return moves;
        }

        private void addCost(PoolId pool, double seconds) {
            int shortage = shortage(pool);
            double cost =
                    shortage > 0
                            ? weights.share() * workShortage(pool)
                                    + (needs.due().contains(pool) ? weights.rollOutTime() : 0)
                            : -weights.bufferCost() * surplus(pool);
            balance(pool).add(cost, seconds, limit);
        }

        private PoolBalance balance(PoolId pool) {
            return balances.computeIfAbsent(pool, p -> new PoolBalance());
        }

        private int expected(PoolId pool) {
            return healthy.get(pool) + arriving.getOrDefault(pool, 0);
        }

        private int workShortage(PoolId pool) {
            int wanted = Math.max(needs.workers().getOrDefault(pool, 0), floors.get(pool));
            return Math.max(0, wanted - expected(pool));
        }

        private int shortage(PoolId pool) {
            int forMaintenance = needs.due().contains(pool) ? floors.get(pool) + 1 : 0;
            return Math.max(workShortage(pool), forMaintenance - expected(pool));
        }

        private int surplus(PoolId pool) {
            int wanted =
                    Math.max(
                            needs.workers().getOrDefault(pool, 0),
                            floors.get(pool) + (needs.due().contains(pool) ? 1 : 0));
            return Math.max(0, healthy.get(pool) - wanted);
        }

        private boolean isSpare(PoolId pool) {
            return snapshot.pool(pool).map(PoolSpec::spare).orElse(false);
        }

        private Optional<PoolId> declaredPool(WorkerId worker) {
            return snapshot.worker(worker).map(WorkerSpec::pool);
        }

        /** Borrows one worker from a spare pool, or else from a pool with a lasting surplus. */
        private void borrow(PoolId pool) {
            Comparator<PoolId> spareFirst = Comparator.comparing(donor -> isSpare(donor) ? 0 : 1);
            healthy.keySet().stream()
                    .filter(donor -> !donor.equals(pool) && surplus(donor) > 0)
                    .filter(donor -> isSpare(donor) || balance(donor).isIdle(limit))
                    .sorted(spareFirst.thenComparing(this::surplus, Comparator.reverseOrder()))
                    .findFirst()
                    .ifPresent(donor -> move(workerToMove(donor, pool), donor, pool));
        }

        private WorkerId workerToMove(PoolId donor, PoolId target) {
            List<WorkerId> workers = active.get(donor);
            return workers.stream()
                    .filter(worker -> declaredPool(worker).equals(Optional.of(target)))
                    .findFirst()
                    .orElse(workers.get(0));
        }

        /** Returns a surplus worker to its declared pool. */
        private void returnWorker(PoolId pool) {
            boolean isUndeclared = weights.equals(UNDECLARED);
            if (!isUndeclared && !balance(pool).isIdle(limit) || leaving.contains(pool)) {
                return;
            }
            active.getOrDefault(pool, List.of()).stream()
                    .filter(worker -> declaredPool(worker).filter(healthy::containsKey).isPresent())
                    .filter(worker -> !declaredPool(worker).equals(Optional.of(pool)))
                    .findFirst()
                    .ifPresent(worker -> move(worker, pool, declaredPool(worker).orElseThrow()));
        }

        private void move(WorkerId worker, PoolId from, PoolId to) {
            moves.add(new Move(worker, from, to));
            active.get(from).remove(worker);
            healthy.merge(from, -1, Integer::sum);
            arriving.merge(to, 1, Integer::sum);
            balance(from).reset();
            balance(to).reset();
        }
    }
}
