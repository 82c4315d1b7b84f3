package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceState;
import org.quetzalscale.core.instance.MoveOrder;

/**
 * Plans the moves of instances: to the pools that need them, and to a standby pool if no pool does.
 *
 * <p>An instance with tasks is drained first. An instance with lasting tasks is not moved.
 */
public final class PoolBalancer {
    /**
     * Fraction of an equal share of all instances that each pool keeps for the start of a burst.
     */
    private static final double MIN_SHARE = 0.6;

    private static final long RETRY_MILLIS = 1_000;

    private final FleetScheduler scheduler;
    private final PoolDemand demand;
    private final PoolTargets targets = new PoolTargets();

    /** Moves whose effect no list of instances has shown yet. */
    private final Map<InstanceId, PendingMove> pendingMoves = new HashMap<>();

    /** Workers that are drained before a move. */
    private final Set<WorkerId> draining = new HashSet<>();

    private final Map<InstanceId, Long> earliestMoveMillis = new HashMap<>();
    private final Set<MoveOrder> rejectedMoves = new HashSet<>();
    private List<FleetInstance> instances = List.of();

    /** Creates a balancer for the scheduler's fleet. */
    public PoolBalancer(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.demand = new PoolDemand(scheduler.fleet(), scheduler.estimator());
    }

    /** A move that was ordered. */
    private static final class PendingMove {
        final MoveOrder order;

        /** The worker that ran on the instance; null if none did. */
        final WorkerId worker;

        /** When the order is sent again; {@code Long.MAX_VALUE} while an answer is awaited. */
        long resendAtMillis = Long.MAX_VALUE;

        /** When the order was answered as done; {@code Long.MAX_VALUE} before. */
        long confirmedMillis = Long.MAX_VALUE;

        PendingMove(MoveOrder order, WorkerId worker) {
            this.order = order;
            this.worker = worker;
        }
    }

    /** The current and the target number of a pool's instances. */
    private static final class PoolBalance {
        final PoolId pool;
        int instanceCount;
        int target;
        final List<WorkerState> movable = new ArrayList<>();

        PoolBalance(PoolId pool) {
            this.pool = pool;
        }

        int surplus() {
            return instanceCount - target;
        }
    }

    /**
     * Does not move the given instances before a time, because an earlier owner gave orders for
     * them.
     */
    public void suspendMoves(Set<InstanceId> ids, long untilMillis) {
        ids.forEach(id -> earliestMoveMillis.put(id, untilMillis));
    }

    /**
     * Updates the balancer from a list of all instances, and removes the moves whose effect it
     * shows.
     *
     * @param requestedMillis when the list was requested
     * @return workers that ended with the move of their instance
     */
    public List<WorkerId> updateInstances(
            List<FleetInstance> list, long requestedMillis, long nowMillis) {
        instances = list;
        List<WorkerId> endedWorkers = new ArrayList<>();
        for (FleetInstance instance : list) {
            PendingMove move = pendingMoves.get(instance.id());
            if (move == null || requestedMillis <= move.confirmedMillis) {
                continue;
            }
            boolean unmoved =
                    instance.up()
                            && instance.worker().filter(id -> id.equals(move.worker)).isPresent();
            if (!unmoved && hasReportedSince(move)) {
                continue;
            }
            pendingMoves.remove(instance.id());
            if (move.worker == null) {
                continue;
            }
            if (unmoved) {
                setCordoned(move.worker, false);
            } else {
                scheduler.removeWorker(move.worker, nowMillis);
                endedWorkers.add(move.worker);
            }
        }
        return endedWorkers;
    }

    /**
     * Whether the worker reports although its move was answered as done. An earlier owner's order
     * was carried out before then, and a list that shows the move lags.
     */
    private boolean hasReportedSince(PendingMove move) {
        return move.worker != null && scheduler.hasReportedAfter(move.worker, move.confirmedMillis);
    }

    /** Whether a new list is needed to learn the effect of a move. */
    public boolean needsInstanceList() {
        return pendingMoves.values().stream()
                .anyMatch(move -> move.confirmedMillis != Long.MAX_VALUE);
    }

    /** Returns the moves that were ordered and whose effect is not known yet. */
    public List<MoveOrder> pendingMoves() {
        return pendingMoves.values().stream().map(move -> move.order).toList();
    }

    /** Returns the moves to order now. */
    public List<MoveOrder> plan(long nowMillis) {
        if (instances.isEmpty()) {
            return List.of();
        }
        List<FleetInstance> standby = standby(nowMillis);
        Map<PoolId, PoolBalance> balances = balances(standby.size(), nowMillis);
        List<MoveOrder> orders = new ArrayList<>();
        assignStandby(standby, balances, orders);
        drainSurplus(balances, orders);
        for (MoveOrder order : orders) {
            WorkerId worker = workerOn(order.instance()).map(w -> w.entry.id()).orElse(null);
            draining.remove(worker);
            pendingMoves.put(order.instance(), new PendingMove(order, worker));
        }
        orders.addAll(movesToResend(nowMillis));
        return orders;
    }

    /** Handles the answer to a move order. */
    public void answered(MoveOrder order, InstanceAnswer answer, long nowMillis) {
        PendingMove move = pendingMoves.get(order.instance());
        if (move == null) {
            return;
        }
        switch (answer) {
            case DONE -> move.confirmedMillis = nowMillis;
            case UNKNOWN, UNAVAILABLE -> move.resendAtMillis = nowMillis + RETRY_MILLIS;
            default -> {
                pendingMoves.remove(order.instance());
                setCordoned(move.worker, false);
                earliestMoveMillis.put(order.instance(), nowMillis + RETRY_MILLIS);
                if (answer == InstanceAnswer.REJECTED) {
                    rejectedMoves.add(order);
                }
            }
        }
    }

    /**
     * Returns the moves to order again: without an answer, it is not known whether they were
     * carried out.
     */
    private List<MoveOrder> movesToResend(long nowMillis) {
        List<MoveOrder> orders = new ArrayList<>();
        Set<InstanceId> unusable = new HashSet<>();
        instances.stream()
                .filter(instance -> !WorkerUse.isPoolCapacity(scheduler.fleet(), instance))
                .forEach(instance -> unusable.add(instance.id()));
        for (PendingMove move : pendingMoves.values()) {
            if (nowMillis >= move.resendAtMillis && !unusable.contains(move.order.instance())) {
                move.resendAtMillis = Long.MAX_VALUE;
                orders.add(move.order);
            }
        }
        return orders;
    }

    private void setCordoned(WorkerId id, boolean cordoned) {
        WorkerState worker = scheduler.fleet().workers.get(id);
        if (worker != null) {
            worker.cordoned = cordoned;
        }
    }

    private Optional<WorkerState> workerOn(InstanceId instance) {
        return scheduler.fleet().workers.values().stream()
                .filter(worker -> instance.equals(worker.instance))
                .findFirst();
    }

    private Map<PoolId, PoolBalance> balances(int standby, long nowMillis) {
        Map<PoolId, PoolBalance> balances = new LinkedHashMap<>();
        for (QueuePolicy queue : scheduler.policy().queues().values()) {
            balances.computeIfAbsent(queue.pool(), PoolBalance::new);
        }
        // Jobs outlive their queue.
        for (PoolId pool : scheduler.fleet().activePools()) {
            balances.computeIfAbsent(pool, PoolBalance::new);
        }
        for (FleetInstance instance : instances) {
            PendingMove move = pendingMoves.get(instance.id());
            PoolBalance balance = balances.get(move == null ? instance.pool() : move.order.pool());
            if (balance != null && instance.state() != InstanceState.DOWN) {
                countInstance(instance, move != null, balance, nowMillis);
            }
        }
        Map<PoolId, PoolTargets.Need> needs = new LinkedHashMap<>();
        int total = standby;
        for (PoolBalance balance : balances.values()) {
            total += balance.instanceCount;
        }
        double minimum = Math.floor(MIN_SHARE * total / balances.size());
        balances.keySet().forEach(pool -> needs.put(pool, need(pool, minimum)));
        targets.allocate(needs, total, nowMillis)
                .forEach((pool, target) -> balances.get(pool).target = target);
        return balances;
    }

    private void countInstance(
            FleetInstance instance, boolean moving, PoolBalance balance, long nowMillis) {
        WorkerState worker = instance.worker().map(scheduler.fleet().workers::get).orElse(null);
        if (!WorkerUse.isPoolCapacity(scheduler.fleet(), instance)
                || (!moving && worker != null && worker.unresponsive)) {
            return;
        }
        balance.instanceCount++;
        if (moving || worker == null || worker.instance == null || worker.hasLastingTasks()) {
            return;
        }
        boolean drained = draining.contains(worker.entry.id());
        if (WorkerUse.isMovable(worker, drained, nowMillis)
                && nowMillis >= earliestMoveMillis.getOrDefault(instance.id(), Long.MIN_VALUE)) {
            balance.movable.add(worker);
        }
    }

    private PoolTargets.Need need(PoolId pool, double minimumShare) {
        long lastingWorkers =
                scheduler.fleet().workersOf(pool).stream()
                        .filter(WorkerUse::countsInPool)
                        .filter(WorkerState::hasLastingTasks)
                        .count();
        double cores = demand.requiredCores(pool, scheduler.epochMillis());
        double minimum = Math.max(minimumShare, Math.max(lastingWorkers, cores > 0 ? 1 : 0));
        return new PoolTargets.Need(minimum, Math.max(minimum, cores / coresPerWorker()));
    }

    private double coresPerWorker() {
        return scheduler.fleet().workers.values().stream()
                .mapToDouble(worker -> worker.entry.capacity().cores())
                .filter(cores -> cores > 0)
                .average()
                .orElse(1);
    }

    private List<FleetInstance> standby(long nowMillis) {
        List<FleetInstance> found = new ArrayList<>();
        for (FleetInstance instance : instances) {
            if (scheduler.isStandby(instance.pool())
                    && instance.up()
                    && WorkerUse.isPoolCapacity(scheduler.fleet(), instance)
                    && !pendingMoves.containsKey(instance.id())
                    && nowMillis
                            >= earliestMoveMillis.getOrDefault(instance.id(), Long.MIN_VALUE)) {
                found.add(instance);
            }
        }
        return found;
    }

    /** Moves standby instances to the pools with the largest deficit. */
    private void assignStandby(
            List<FleetInstance> standby,
            Map<PoolId, PoolBalance> balances,
            List<MoveOrder> orders) {
        for (FleetInstance instance : standby) {
            largestDeficit(balances, instance.id())
                    .ifPresent(
                            recipient -> {
                                orders.add(new MoveOrder(instance.id(), recipient.pool));
                                recipient.instanceCount++;
                            });
        }
    }

    private Optional<PoolBalance> largestDeficit(
            Map<PoolId, PoolBalance> balances, InstanceId instance) {
        return balances.values().stream()
                .filter(balance -> balance.surplus() < 0)
                .filter(balance -> !rejectedMoves.contains(new MoveOrder(instance, balance.pool)))
                .min(Comparator.comparingInt(PoolBalance::surplus));
    }

    /** Drains surplus instances of the pools, and moves those that are drained. */
    private void drainSurplus(Map<PoolId, PoolBalance> balances, List<MoveOrder> orders) {
        for (PoolBalance balance : balances.values()) {
            balance.movable.sort(Comparator.comparingDouble(worker -> -worker.freeCoreFraction()));
            for (WorkerState worker : balance.movable) {
                boolean drain =
                        balance.surplus() > 0 && destination(balances, worker.instance).isPresent();
                worker.cordoned = drain;
                if (!drain) {
                    draining.remove(worker.entry.id());
                    continue;
                }
                draining.add(worker.entry.id());
                if (!worker.tasks.isEmpty() || !worker.orphanedRuns.isEmpty()) {
                    balance.instanceCount--;
                    continue;
                }
                PoolId pool = destination(balances, worker.instance).orElseThrow();
                if (balances.containsKey(pool)) {
                    balances.get(pool).instanceCount++;
                }
                orders.add(new MoveOrder(worker.instance, pool));
                balance.instanceCount--;
            }
        }
    }

    /**
     * Returns the pool to move an instance to; empty if no pool has a deficit and there is no
     * standby pool.
     */
    private Optional<PoolId> destination(Map<PoolId, PoolBalance> balances, InstanceId instance) {
        Optional<PoolId> recipient =
                largestDeficit(balances, instance).map(balance -> balance.pool);
        if (recipient.isPresent()) {
            return recipient;
        }
        return scheduler.policy().pools().values().stream()
                .filter(PoolPolicy::standby)
                .map(PoolPolicy::id)
                .filter(pool -> !rejectedMoves.contains(new MoveOrder(instance, pool)))
                .findFirst();
    }
}
