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
import org.quetzalscale.core.instance.WaveRequest;

/**
 * Carries out one wave: which instance is drained and maintained when.
 *
 * <p>Instances without a worker go first, then those whose workers have least to do. While there is
 * time, busy workers wait for a quieter moment; of each pool only a part is away at once.
 */
public final class MaintenancePlanner {
    /** Longest wait for short tasks to end; what then still runs is ended by the maintenance. */
    private static final long MAX_DRAIN_MILLIS = 2_500;

    private static final long RETRY_MILLIS = 400;
    private static final long BUSY_RETRY_MILLIS = 800;

    /** A worker with less of its processors in use is drained without haste. */
    private static final double QUIET_SHARE = 0.45;

    /** Part of a pool's workers that may be away at once. */
    private static final double MAX_AWAY_SHARE = 0.34;

    /** Drain, maintenance and return of one instance, as a rule. */
    private static final long ROUND_MILLIS = 6_000;

    /** Busy workers are drained when no more than this is left beyond what the rest needs. */
    private static final long HASTE_MILLIS = 8_000;

    private final FleetScheduler scheduler;
    private final WaveRequest wave;
    private final long deadlineMillis;
    private final long downMillis;
    private final Map<InstanceId, MaintenanceItem> items = new LinkedHashMap<>();
    private Map<InstanceId, FleetInstance> instances = Map.of();

    /**
     * Creates a planner.
     *
     * @param receivedMillis when the wave was asked for
     * @param done instances that an earlier owner recorded as maintained
     * @param downMillis how long a maintenance takes
     */
    public MaintenancePlanner(
            FleetScheduler scheduler,
            WaveRequest wave,
            long receivedMillis,
            Set<InstanceId> done,
            long downMillis) {
        this.scheduler = scheduler;
        this.wave = wave;
        this.deadlineMillis = receivedMillis + wave.durationMillis();
        this.downMillis = downMillis;
        for (InstanceId id : wave.instances()) {
            MaintenanceItem item = new MaintenanceItem(id);
            if (done.contains(id)) {
                item.state = MaintenanceItem.State.DONE;
            }
            items.put(id, item);
        }
    }

    /** The wave's number. */
    public long number() {
        return wave.number();
    }

    /** How many instances it asks for. */
    public int size() {
        return items.size();
    }

    /** When it has to be done, on the owner's monotonic clock. */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /** Instances that are maintained or have left. */
    public Set<InstanceId> done() {
        Set<InstanceId> done = new HashSet<>();
        for (MaintenanceItem item : items.values()) {
            if (item.state == MaintenanceItem.State.DONE) {
                done.add(item.instance);
            }
        }
        return done;
    }

    /** Whether all instances are maintained or have left. */
    public boolean isCompleted() {
        return items.values().stream().allMatch(item -> item.state == MaintenanceItem.State.DONE);
    }

    /**
     * Takes the list of all instances.
     *
     * @param askedMillis when the list was asked for
     * @return workers that have ended with their instances
     */
    public List<WorkerId> updateInstances(
            List<FleetInstance> list, long askedMillis, long nowMillis) {
        Map<InstanceId, FleetInstance> byId = new HashMap<>();
        list.forEach(instance -> byId.put(instance.id(), instance));
        instances = byId;
        List<WorkerId> ended = new ArrayList<>();
        for (MaintenanceItem item : items.values()) {
            FleetInstance instance = byId.get(item.instance);
            if (instance == null) {
                cordon(item, false);
                item.enter(MaintenanceItem.State.DONE, nowMillis);
            } else if (item.state == MaintenanceItem.State.DOWN) {
                followDown(item, instance, askedMillis, nowMillis).ifPresent(ended::add);
            }
        }
        return ended;
    }

    /** Whether a list is needed to know what became of an order. */
    public boolean needsInstanceList() {
        return items.values().stream()
                .anyMatch(item -> item.state == MaintenanceItem.State.DOWN && item.worker != null);
    }

    /**
     * An order is answered alike when an earlier owner's order had been carried out before; then
     * the worker is still there, and with it all that runs on it.
     */
    private Optional<WorkerId> followDown(
            MaintenanceItem item, FleetInstance instance, long askedMillis, long nowMillis) {
        if (askedMillis < item.sinceMillis) {
            return Optional.empty();
        }
        Optional<WorkerId> ended = Optional.empty();
        if (item.worker != null) {
            if (instance.up() && instance.worker().filter(item.worker::equals).isPresent()) {
                cordon(item, false);
                markEvicted(item, false);
                item.enter(MaintenanceItem.State.DONE, nowMillis);
                return Optional.empty();
            }
            ended = Optional.of(item.worker);
            scheduler.removeWorker(item.worker, nowMillis);
            item.worker = null;
        }
        if (instance.up() && askedMillis >= item.sinceMillis + downMillis) {
            item.enter(MaintenanceItem.State.DONE, nowMillis);
        }
        return ended;
    }

    /** The instances whose maintenance is to be ordered now. */
    public List<InstanceId> plan(long nowMillis) {
        if (instances.isEmpty()) {
            return List.of();
        }
        beginDrains(nowMillis);
        List<InstanceId> orders = new ArrayList<>();
        long down = items.values().stream().filter(MaintenanceItem::isDown).count();
        for (MaintenanceItem item : items.values()) {
            if (item.answerAwaited || nowMillis < item.notBeforeMillis) {
                continue;
            }
            if (item.state == MaintenanceItem.State.ORDERED) {
                orders.add(item.instance);
                item.answerAwaited = true;
            } else if (item.state == MaintenanceItem.State.DRAINING
                    && down < wave.maxDown()
                    && isDrained(item, nowMillis)) {
                down++;
                markEvicted(item, true);
                item.enter(MaintenanceItem.State.ORDERED, nowMillis);
                orders.add(item.instance);
                item.answerAwaited = true;
            }
        }
        return orders;
    }

    /** Takes the answer to an order. */
    public void answered(InstanceId id, InstanceAnswer answer, long nowMillis) {
        MaintenanceItem item = items.get(id);
        item.answerAwaited = false;
        switch (answer) {
            case DONE -> item.enter(MaintenanceItem.State.DOWN, nowMillis);
            case BUSY -> {
                cordon(item, false);
                markEvicted(item, false);
                item.enter(MaintenanceItem.State.PENDING, nowMillis);
                item.notBeforeMillis = nowMillis + BUSY_RETRY_MILLIS;
            }
            case REJECTED -> {
                cordon(item, false);
                item.enter(MaintenanceItem.State.DONE, nowMillis);
            }
            default -> item.notBeforeMillis = nowMillis + RETRY_MILLIS;
        }
    }

    private void beginDrains(long nowMillis) {
        int begun = 0;
        Map<PoolId, Integer> away = new HashMap<>();
        List<MaintenanceItem> pending = new ArrayList<>();
        for (MaintenanceItem item : items.values()) {
            switch (item.state) {
                case PENDING -> pending.add(item);
                case DRAINING, ORDERED, DOWN -> {
                    begun++;
                    poolOf(item).ifPresent(pool -> away.merge(pool, 1, Integer::sum));
                }
                default -> {
                    // Done: nothing to prepare.
                }
            }
        }
        boolean haste = isLate(pending.size(), nowMillis);
        pending.sort(Comparator.comparingDouble(this::busyShare));
        for (MaintenanceItem item : pending) {
            if (begun >= wave.maxDown()) {
                return;
            }
            if (mayBegin(item, away, haste, nowMillis)) {
                begin(item, nowMillis);
                begun++;
                poolOf(item).ifPresent(pool -> away.merge(pool, 1, Integer::sum));
            }
        }
    }

    private boolean isLate(int pending, long nowMillis) {
        long rounds = (pending + wave.maxDown() - 1) / wave.maxDown();
        return deadlineMillis - nowMillis - rounds * ROUND_MILLIS < HASTE_MILLIS;
    }

    private boolean mayBegin(
            MaintenanceItem item, Map<PoolId, Integer> away, boolean haste, long nowMillis) {
        FleetInstance instance = instances.get(item.instance);
        if (instance == null || !instance.up() || nowMillis < item.notBeforeMillis) {
            return false;
        }
        Optional<WorkerState> worker = worker(instance);
        if (worker.isEmpty()) {
            return true;
        }
        if (worker.get().cordoned) {
            return false;
        }
        int size = scheduler.fleet().workersOf(instance.pool()).size();
        int limit = (int) Math.max(1, Math.floor(size * MAX_AWAY_SHARE));
        if (away.getOrDefault(instance.pool(), 0) >= limit) {
            return false;
        }
        return haste || busyShare(item) <= QUIET_SHARE;
    }

    private void begin(MaintenanceItem item, long nowMillis) {
        item.worker = worker(instances.get(item.instance)).map(w -> w.entry.id()).orElse(null);
        cordon(item, true);
        item.enter(MaintenanceItem.State.DRAINING, nowMillis);
    }

    /** Whether nothing of worth would be lost, or the wait has been long enough. */
    private boolean isDrained(MaintenanceItem item, long nowMillis) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker == null) {
            return true;
        }
        boolean shortTasks =
                worker.tasks.values().stream().anyMatch(t -> !t.step.definition.lasting());
        if (shortTasks && nowMillis - item.sinceMillis < MAX_DRAIN_MILLIS) {
            return false;
        }
        if (budget().permitsEmptying(worker)) {
            return true;
        }
        evictCrowded(worker, nowMillis);
        return false;
    }

    /** Moves tasks off a worker that has more of a step than may be away at once. */
    private void evictCrowded(WorkerState worker, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            int budget = task.step.definition.maxUnavailable();
            if (budget > 0
                    && task.isAtWork()
                    && worker.tasksOf(task.step) > budget
                    && budget().permitsStop(task)) {
                scheduler.jobs().stop(task, nowMillis);
            }
        }
    }

    /** The tasks count as away from now on, before the order's answer. */
    private void markEvicted(MaintenanceItem item, boolean evicted) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker != null) {
            worker.tasks.values().forEach(task -> task.evicted = evicted);
        }
    }

    private void cordon(MaintenanceItem item, boolean cordoned) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker != null) {
            worker.cordoned = cordoned;
        }
    }

    private AvailabilityBudget budget() {
        return new AvailabilityBudget(scheduler.fleet());
    }

    private double busyShare(MaintenanceItem item) {
        FleetInstance instance = instances.get(item.instance);
        return instance == null ? 0 : worker(instance).map(w -> 1 - w.freeShare()).orElse(-1.0);
    }

    private Optional<PoolId> poolOf(MaintenanceItem item) {
        return Optional.ofNullable(instances.get(item.instance)).map(FleetInstance::pool);
    }

    private Optional<WorkerState> worker(FleetInstance instance) {
        return instance.worker().map(scheduler.fleet().workers::get);
    }
}
