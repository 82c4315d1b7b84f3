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
 * Moves instances to the pools that need them, and those that no pool needs to a standby pool.
 *
 * <p>An instance with tasks is drained first; one with lasting tasks is not moved.
 */
public final class PoolBalancer {
    /** Part of an equal share of all instances that a pool keeps for the start of a burst. */
    private static final double LEAST_SHARE = 0.6;

    private static final long RETRY_MILLIS = 1_000;

    private final FleetScheduler scheduler;
    private final PoolDemand demand;
    private final PoolTargets targets = new PoolTargets();

    /** Orders whose result has not been seen in the list yet. */
    private final Map<InstanceId, Pending> pending = new HashMap<>();

    /** Workers that are drained to be moved. */
    private final Set<WorkerId> draining = new HashSet<>();

    private final Map<InstanceId, Long> notBefore = new HashMap<>();
    private final Set<MoveOrder> impossible = new HashSet<>();
    private List<FleetInstance> instances = List.of();

    /** Creates a balancer. */
    public PoolBalancer(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.demand = new PoolDemand(scheduler.fleet(), scheduler.estimator());
    }

    /** An order on its way. */
    private static final class Pending {
        final MoveOrder order;

        /** The worker that ran on the instance; null if none did. */
        final WorkerId worker;

        /** When the order is sent again; no time while its answer is awaited. */
        long resendMillis = Long.MAX_VALUE;

        /** When the order was answered as done. */
        long doneMillis = Long.MAX_VALUE;

        Pending(MoveOrder order, WorkerId worker) {
            this.order = order;
            this.worker = worker;
        }
    }

    /** A pool with what it has and should have. */
    private static final class Balance {
        final PoolId pool;
        int have;
        int target;
        final List<WorkerState> movable = new ArrayList<>();

        Balance(PoolId pool) {
            this.pool = pool;
        }

        int surplus() {
            return have - target;
        }
    }

    /** Leaves instances alone until a time, because an earlier owner gave them orders. */
    public void suspendMoves(Set<InstanceId> ids, long untilMillis) {
        ids.forEach(id -> notBefore.put(id, untilMillis));
    }

    /**
     * Takes the list of all instances; orders that it shows the result of are forgotten.
     *
     * @param askedMillis when the list was asked for
     * @return workers that have ended with the move of their instance
     */
    public List<WorkerId> updateInstances(
            List<FleetInstance> list, long askedMillis, long nowMillis) {
        instances = list;
        List<WorkerId> ended = new ArrayList<>();
        for (FleetInstance instance : list) {
            Pending move = pending.get(instance.id());
            if (move == null || askedMillis <= move.doneMillis) {
                continue;
            }
            pending.remove(instance.id());
            if (move.worker == null) {
                continue;
            }
            if (instance.up() && instance.worker().filter(move.worker::equals).isPresent()) {
                cordon(move.worker, false);
            } else {
                scheduler.removeWorker(move.worker, nowMillis);
                ended.add(move.worker);
            }
        }
        return ended;
    }

    /** Whether a list is needed to know what became of an order. */
    public boolean needsInstanceList() {
        return pending.values().stream().anyMatch(move -> move.doneMillis != Long.MAX_VALUE);
    }

    /** The moves that are under way. */
    public List<MoveOrder> pendingMoves() {
        return pending.values().stream().map(move -> move.order).toList();
    }

    /** The moves to order now. */
    public List<MoveOrder> plan(long nowMillis) {
        if (instances.isEmpty()) {
            return List.of();
        }
        List<FleetInstance> standby = standby(nowMillis);
        Map<PoolId, Balance> balances = balances(standby.size(), nowMillis);
        List<MoveOrder> orders = new ArrayList<>();
        supply(standby, balances, orders);
        release(balances, orders);
        for (MoveOrder order : orders) {
            WorkerId worker = workerOn(order.instance()).map(w -> w.entry.id()).orElse(null);
            draining.remove(worker);
            pending.put(order.instance(), new Pending(order, worker));
        }
        orders.addAll(repeated(nowMillis));
        return orders;
    }

    /** Takes the answer to an order. */
    public void answered(MoveOrder order, InstanceAnswer answer, long nowMillis) {
        Pending move = pending.get(order.instance());
        if (move == null) {
            return;
        }
        switch (answer) {
            case DONE -> move.doneMillis = nowMillis;
            case UNKNOWN, UNAVAILABLE -> move.resendMillis = nowMillis + RETRY_MILLIS;
            default -> {
                pending.remove(order.instance());
                cordon(move.worker, false);
                notBefore.put(order.instance(), nowMillis + RETRY_MILLIS);
                if (answer == InstanceAnswer.REJECTED) {
                    impossible.add(order);
                }
            }
        }
    }

    /** Orders that were not answered and may have been carried out or not. */
    private List<MoveOrder> repeated(long nowMillis) {
        List<MoveOrder> orders = new ArrayList<>();
        for (Pending move : pending.values()) {
            if (nowMillis >= move.resendMillis) {
                move.resendMillis = Long.MAX_VALUE;
                orders.add(move.order);
            }
        }
        return orders;
    }

    private void cordon(WorkerId id, boolean cordoned) {
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

    private Map<PoolId, Balance> balances(int standby, long nowMillis) {
        Map<PoolId, Balance> balances = new LinkedHashMap<>();
        for (QueuePolicy queue : scheduler.policy().queues().values()) {
            balances.computeIfAbsent(queue.pool(), Balance::new);
        }
        for (FleetInstance instance : instances) {
            Pending move = pending.get(instance.id());
            Balance balance = balances.get(move == null ? instance.pool() : move.order.pool());
            if (balance != null && instance.state() != InstanceState.DOWN) {
                count(instance, move != null, balance, nowMillis);
            }
        }
        Map<PoolId, PoolTargets.Need> needs = new LinkedHashMap<>();
        int total = standby;
        for (Balance balance : balances.values()) {
            total += balance.have;
        }
        double least = Math.floor(LEAST_SHARE * total / balances.size());
        balances.keySet().forEach(pool -> needs.put(pool, need(pool, least)));
        targets.divide(needs, total, nowMillis)
                .forEach((pool, target) -> balances.get(pool).target = target);
        return balances;
    }

    private void count(FleetInstance instance, boolean moving, Balance balance, long nowMillis) {
        WorkerState worker = instance.worker().map(scheduler.fleet().workers::get).orElse(null);
        if (!moving && worker != null && worker.silent) {
            return;
        }
        balance.have++;
        if (moving || worker == null || worker.instance == null || worker.hasLastingTasks()) {
            return;
        }
        boolean free = worker.takesWork(nowMillis) || draining.contains(worker.entry.id());
        if (free && nowMillis >= notBefore.getOrDefault(instance.id(), Long.MIN_VALUE)) {
            balance.movable.add(worker);
        }
    }

    private PoolTargets.Need need(PoolId pool, double share) {
        long hosts =
                scheduler.fleet().workersOf(pool).stream()
                        .filter(WorkerState::hasLastingTasks)
                        .count();
        double cores = demand.cores(pool, scheduler.epochMillis());
        double least = Math.max(share, Math.max(hosts, cores > 0 ? 1 : 0));
        return new PoolTargets.Need(least, Math.max(least, cores / coresPerWorker()));
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
                    && !pending.containsKey(instance.id())
                    && nowMillis >= notBefore.getOrDefault(instance.id(), Long.MIN_VALUE)) {
                found.add(instance);
            }
        }
        return found;
    }

    /** Gives standby instances to the pools that lack most. */
    private void supply(
            List<FleetInstance> standby, Map<PoolId, Balance> balances, List<MoveOrder> orders) {
        for (FleetInstance instance : standby) {
            neediest(balances, instance.id())
                    .ifPresent(
                            needy -> {
                                orders.add(new MoveOrder(instance.id(), needy.pool));
                                needy.have++;
                            });
        }
    }

    private Optional<Balance> neediest(Map<PoolId, Balance> balances, InstanceId instance) {
        return balances.values().stream()
                .filter(balance -> balance.surplus() < 0)
                .filter(balance -> !impossible.contains(new MoveOrder(instance, balance.pool)))
                .min(Comparator.comparingInt(Balance::surplus));
    }

    /** Drains what pools have too much of, and moves what is drained. */
    private void release(Map<PoolId, Balance> balances, List<MoveOrder> orders) {
        for (Balance balance : balances.values()) {
            balance.movable.sort(Comparator.comparingDouble(worker -> -worker.freeShare()));
            for (WorkerState worker : balance.movable) {
                boolean released =
                        balance.surplus() > 0 && destination(balances, worker.instance).isPresent();
                worker.cordoned = released;
                if (!released) {
                    draining.remove(worker.entry.id());
                    continue;
                }
                draining.add(worker.entry.id());
                if (!worker.tasks.isEmpty() || !worker.strays.isEmpty()) {
                    balance.have--;
                    continue;
                }
                PoolId pool = destination(balances, worker.instance).orElseThrow();
                if (balances.containsKey(pool)) {
                    balances.get(pool).have++;
                }
                orders.add(new MoveOrder(worker.instance, pool));
                balance.have--;
            }
        }
    }

    /** Where an instance would go; empty if no pool lacks one and there is no standby pool. */
    private Optional<PoolId> destination(Map<PoolId, Balance> balances, InstanceId instance) {
        Optional<PoolId> needy = neediest(balances, instance).map(balance -> balance.pool);
        if (needy.isPresent()) {
            return needy;
        }
        return scheduler.policy().pools().values().stream()
                .filter(PoolPolicy::standby)
                .map(PoolPolicy::id)
                .filter(pool -> !impossible.contains(new MoveOrder(instance, pool)))
                .findFirst();
    }
}
