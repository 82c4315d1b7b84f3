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
 * Decides which workers to move between pools, by the weights that the deployment declares.
 *
 * <p>Without a declared deployment nothing is borrowed, and workers only return to the pools that
 * they are declared for. Not safe for use by several threads.
 */
public final class MovePlanner {
    /**
     * Work that a move costs, in worker-seconds: the drain takes 5 s to be in force and the last
     * requests some more, and each of the two transactions delays other changes.
     */
    public static final double MOVE_WORKER_SECONDS = 30;

    /** Longest time between two looks that counts, in seconds; a pause is not evidence. */
    private static final double MAX_STEP_SECONDS = 5;

    private static final DeploymentSpec UNDECLARED = new DeploymentSpec(1, 0, 0, 0);

    private final Map<PoolId, PoolBalance> balances = new HashMap<>();
    private long lastMillis = Long.MIN_VALUE;

    /**
     * The moves to ask for now.
     *
     * @param live whether the platform lists a worker as live
     * @param nowMillis monotonic time in ms
     */
    public List<Move> plan(
            ConfigSnapshot snapshot, Predicate<WorkerId> live, PoolNeeds needs, long nowMillis) {
        double seconds =
                lastMillis == Long.MIN_VALUE
                        ? 0
                        : Math.min(MAX_STEP_SECONDS, (nowMillis - lastMillis) / 1_000.0);
        lastMillis = nowMillis;
        return new Look(snapshot, live, needs).plan(seconds);
    }

    /** One look at the fleet. */
    private final class Look {
        private final ConfigSnapshot snapshot;
        private final Predicate<WorkerId> live;
        private final PoolNeeds needs;
        private final DeploymentSpec weights;
        private final double limit;
        private final Map<PoolId, Integer> healthy = new TreeMap<>();
        private final Map<PoolId, Integer> floors = new HashMap<>();
        private final Map<PoolId, Integer> coming = new HashMap<>();
        private final Map<PoolId, List<WorkerId>> active = new HashMap<>();
        private final Set<PoolId> leaving = new HashSet<>();
        private final List<Move> moves = new ArrayList<>();

        private Look(ConfigSnapshot snapshot, Predicate<WorkerId> live, PoolNeeds needs) {
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
                                    place(new WorkerId(name), (AssignmentSpec) versioned.spec()));
        }

        private void place(WorkerId worker, AssignmentSpec assignment) {
            DrainReason reason = new DrainReason(assignment.reason());
            if (assignment.phase() == WorkerPhase.ACTIVE) {
                if (live.test(worker)) {
                    active.computeIfAbsent(assignment.pool(), p -> new ArrayList<>()).add(worker);
                }
            } else if (reason.moveTarget().isPresent()) {
                coming.merge(reason.moveTarget().get(), 1, Integer::sum);
                leaving.add(assignment.pool());
            } else if (reason.wave().isPresent() && assignment.phase() != WorkerPhase.FAILED) {
                coming.merge(assignment.pool(), 1, Integer::sum);
            }
        }

        private List<Move> plan(double seconds) {
            healthy.keySet().forEach(pool -> weigh(pool, seconds));
            healthy.keySet().stream()
                    .filter(pool -> !isSpare(pool) && balance(pool).isLacking(limit))
                    .filter(pool -> lack(pool) > 0)
                    .sorted(Comparator.comparing(this::lack).reversed())
                    .forEach(this::borrow);
            healthy.keySet().stream().filter(pool -> surplus(pool) > 0).forEach(this::giveBack);
            return moves;
        }

        private void weigh(PoolId pool, double seconds) {
            int lack = lack(pool);
            double cost =
                    lack > 0
                            ? weights.share() * workLack(pool)
                                    + (needs.due().contains(pool) ? weights.rollOutTime() : 0)
                            : -weights.bufferCost() * surplus(pool);
            balance(pool).add(cost, seconds, limit);
        }

        private PoolBalance balance(PoolId pool) {
            return balances.computeIfAbsent(pool, p -> new PoolBalance());
        }

        private int expected(PoolId pool) {
            return healthy.get(pool) + coming.getOrDefault(pool, 0);
        }

        private int workLack(PoolId pool) {
            int wanted = Math.max(needs.workers().getOrDefault(pool, 0), floors.get(pool));
            return Math.max(0, wanted - expected(pool));
        }

        private int lack(PoolId pool) {
            int forMaintenance = needs.due().contains(pool) ? floors.get(pool) + 1 : 0;
            return Math.max(workLack(pool), forMaintenance - expected(pool));
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

        private Optional<PoolId> home(WorkerId worker) {
            return snapshot.worker(worker).map(WorkerSpec::pool);
        }

        /** One worker at a time, from a spare pool or else from a pool that is idle for long. */
        private void borrow(PoolId pool) {
            Comparator<PoolId> spareFirst = Comparator.comparing(donor -> isSpare(donor) ? 0 : 1);
            healthy.keySet().stream()
                    .filter(donor -> !donor.equals(pool) && surplus(donor) > 0)
                    .filter(donor -> isSpare(donor) || balance(donor).isIdle(limit))
                    .sorted(spareFirst.thenComparing(this::surplus, Comparator.reverseOrder()))
                    .findFirst()
                    .ifPresent(donor -> move(lent(donor, pool), donor, pool));
        }

        private WorkerId lent(PoolId donor, PoolId target) {
            List<WorkerId> workers = active.get(donor);
            return workers.stream()
                    .filter(worker -> home(worker).equals(Optional.of(target)))
                    .findFirst()
                    .orElse(workers.get(0));
        }

        /** A surplus worker that is declared for another pool returns there. */
        private void giveBack(PoolId pool) {
            boolean isUndeclared = weights.equals(UNDECLARED);
            if (!isUndeclared && !balance(pool).isIdle(limit) || leaving.contains(pool)) {
                return;
            }
            active.getOrDefault(pool, List.of()).stream()
                    .filter(worker -> home(worker).filter(healthy::containsKey).isPresent())
                    .filter(worker -> !home(worker).equals(Optional.of(pool)))
                    .findFirst()
                    .ifPresent(worker -> move(worker, pool, home(worker).orElseThrow()));
        }

        private void move(WorkerId worker, PoolId from, PoolId to) {
            moves.add(new Move(worker, from, to));
            active.get(from).remove(worker);
            healthy.merge(from, -1, Integer::sum);
            coming.merge(to, 1, Integer::sum);
            balance(from).reset();
            balance(to).reset();
        }
    }
}
