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
 * Plans one maintenance wave: decides when each instance is drained and maintained.
 *
 * <p>Instances without a worker come first, then those with the least busy workers. While there is
 * enough time, busy workers are not drained. Only a fraction of each pool is unavailable at the
 * same time.
 */
public final class MaintenancePlanner {
    /** Maximum wait for tasks that are not lasting; the maintenance ends those that still run. */
    private static final long MAX_DRAIN_MILLIS = 2_500;

    private static final long RETRY_MILLIS = 400;
    private static final long BUSY_RETRY_MILLIS = 800;

    /**
     * A worker with at most this fraction of its processors in use is drained even if the wave is
     * not urgent.
     */
    private static final double QUIET_CORE_FRACTION = 0.45;

    /** Fraction of a pool's workers that may be unavailable at the same time. */
    private static final double MAX_UNAVAILABLE_FRACTION = 0.34;

    /** Typical time to drain, maintain and restart one instance. */
    private static final long INSTANCE_CYCLE_MILLIS = 6_000;

    /**
     * Busy workers are drained when the remaining time exceeds the time needed by less than this.
     */
    private static final long URGENT_SLACK_MILLIS = 8_000;

    private final FleetScheduler scheduler;
    private final WaveRequest wave;
    private final long deadlineMillis;
    private final long downMillis;
    private final Map<InstanceId, MaintenanceItem> items = new LinkedHashMap<>();
    private Map<InstanceId, FleetInstance> instances = Map.of();

    /**
     * Creates a planner.
     *
     * @param receivedMillis when the wave was requested
     * @param done instances that an earlier owner recorded as maintained
     * @param downMillis how long the maintenance of an instance takes
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

    /** The worker that runs on the instance, if one is listed. */
    public Optional<WorkerId> workerOn(InstanceId id) {
        return Optional.ofNullable(instances.get(id)).flatMap(FleetInstance::worker);
    }

    /** The number of instances of the wave. */
    public int size() {
        return items.size();
    }

    /** When the wave has to be completed, in milliseconds of the owner's monotonic clock. */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /** Instances that need no more maintenance. */
    public Set<InstanceId> done() {
        Set<InstanceId> done = new HashSet<>();
        for (MaintenanceItem item : items.values()) {
            if (item.state == MaintenanceItem.State.DONE) {
                done.add(item.instance);
            }
        }
        return done;
    }

    /** Whether no instance of the wave needs maintenance any more. */
    public boolean isCompleted() {
        return items.values().stream().allMatch(item -> item.state == MaintenanceItem.State.DONE);
    }

    /**
     * Updates the wave from a list of all instances.
     *
     * @param requestedMillis when the list was requested
     * @return workers that ended with their instances
     */
    public List<WorkerId> updateInstances(
            List<FleetInstance> list, long requestedMillis, long nowMillis) {
        Map<InstanceId, FleetInstance> byId = new HashMap<>();
        list.forEach(instance -> byId.put(instance.id(), instance));
        instances = byId;
        List<WorkerId> endedWorkers = new ArrayList<>();
        for (MaintenanceItem item : items.values()) {
            FleetInstance instance = byId.get(item.instance);
            if (instance == null) {
                setCordoned(item, false);
                item.transitionTo(MaintenanceItem.State.DONE, nowMillis);
            } else if (item.state == MaintenanceItem.State.DOWN) {
                trackMaintenance(item, instance, requestedMillis, nowMillis)
                        .ifPresent(endedWorkers::add);
            }
        }
        return endedWorkers;
    }

    /** Whether a new list is needed to learn the effect of an order. */
    public boolean needsInstanceList() {
        return items.values().stream()
                .anyMatch(item -> item.state == MaintenanceItem.State.DOWN && item.worker != null);
    }

    /**
     * Follows an instance whose order was answered as done. The answer is the same if the order of
     * an earlier owner had been carried out before; in that case the worker and its tasks still
     * run, also if the list lags and shows the earlier maintenance.
     */
    private Optional<WorkerId> trackMaintenance(
            MaintenanceItem item, FleetInstance instance, long requestedMillis, long nowMillis) {
        if (requestedMillis < item.stateSinceMillis) {
            return Optional.empty();
        }
        Optional<WorkerId> endedWorker = Optional.empty();
        if (item.worker != null) {
            if (instance.up() && instance.worker().filter(item.worker::equals).isPresent()) {
                setCordoned(item, false);
                setEvicting(item, false);
                item.transitionTo(MaintenanceItem.State.DONE, nowMillis);
                return Optional.empty();
            }
            if (scheduler.hasReportedAfter(item.worker, item.stateSinceMillis)) {
                return Optional.empty();
            }
            endedWorker = Optional.of(item.worker);
            scheduler.removeWorker(item.worker, nowMillis);
            item.worker = null;
        }
        if (instance.up() && requestedMillis >= item.stateSinceMillis + downMillis) {
            item.transitionTo(MaintenanceItem.State.DONE, nowMillis);
        }
        return endedWorker;
    }

    /** Returns the instances whose maintenance is to be ordered now. */
    public List<InstanceId> plan(long nowMillis) {
        if (instances.isEmpty()) {
            return List.of();
        }
        startDrains(nowMillis);
        List<InstanceId> orders = new ArrayList<>();
        long down = items.values().stream().filter(MaintenanceItem::isDown).count();
        for (MaintenanceItem item : items.values()) {
            if (item.awaitingAnswer || nowMillis < item.retryAtMillis) {
                continue;
            }
            if (item.state == MaintenanceItem.State.ORDERED) {
                orders.add(item.instance);
                item.awaitingAnswer = true;
            } else if (item.state == MaintenanceItem.State.DRAINING
                    && down < wave.maxDown()
                    && isDrained(item, nowMillis)) {
                down++;
                setEvicting(item, true);
                item.transitionTo(MaintenanceItem.State.ORDERED, nowMillis);
                orders.add(item.instance);
                item.awaitingAnswer = true;
            }
        }
        return orders;
    }

    /** Handles the answer to a maintenance order. */
    public void answered(InstanceId id, InstanceAnswer answer, long nowMillis) {
        MaintenanceItem item = items.get(id);
        item.awaitingAnswer = false;
        switch (answer) {
            case DONE -> item.transitionTo(MaintenanceItem.State.DOWN, nowMillis);
            case BUSY -> {
                setCordoned(item, false);
                setEvicting(item, false);
                item.transitionTo(MaintenanceItem.State.PENDING, nowMillis);
                item.retryAtMillis = nowMillis + BUSY_RETRY_MILLIS;
            }
            case REJECTED -> {
                setCordoned(item, false);
                item.transitionTo(MaintenanceItem.State.DONE, nowMillis);
            }
            default -> item.retryAtMillis = nowMillis + RETRY_MILLIS;
        }
    }

    private void startDrains(long nowMillis) {
        int started = 0;
        Map<PoolId, Integer> unavailable = new HashMap<>();
        List<MaintenanceItem> pending = new ArrayList<>();
        for (MaintenanceItem item : items.values()) {
            switch (item.state) {
                case PENDING -> pending.add(item);
                case DRAINING, ORDERED, DOWN -> {
                    started++;
                    poolOf(item).ifPresent(pool -> unavailable.merge(pool, 1, Integer::sum));
                }
                default -> {
                    // DONE needs no drain.
                }
            }
        }
        boolean urgent = isUrgent(pending.size(), nowMillis);
        pending.sort(Comparator.comparingDouble(this::busyCoreFraction));
        for (MaintenanceItem item : pending) {
            if (started >= wave.maxDown()) {
                return;
            }
            if (canStartDrain(item, unavailable, urgent, nowMillis)) {
                startDrain(item, nowMillis);
                started++;
                poolOf(item).ifPresent(pool -> unavailable.merge(pool, 1, Integer::sum));
            }
        }
    }

    private boolean isUrgent(int pending, long nowMillis) {
        long cycles = (pending + wave.maxDown() - 1) / wave.maxDown();
        return deadlineMillis - nowMillis - cycles * INSTANCE_CYCLE_MILLIS < URGENT_SLACK_MILLIS;
    }

    private boolean canStartDrain(
            MaintenanceItem item,
            Map<PoolId, Integer> unavailable,
            boolean urgent,
            long nowMillis) {
        FleetInstance instance = instances.get(item.instance);
        if (instance == null
                || !instance.up()
                || !runsKnown(instance)
                || nowMillis < item.retryAtMillis) {
            return false;
        }
        Optional<WorkerState> worker = worker(instance);
        if (worker.isEmpty()) {
            return true;
        }
        if (!WorkerUse.permitsMaintenance(worker.get())) {
            return false;
        }
        boolean quiet = urgent || busyCoreFraction(item) <= QUIET_CORE_FRACTION;
        if (!WorkerUse.isPoolCapacity(scheduler.fleet(), instance)) {
            return quiet;
        }
        long size =
                scheduler.fleet().workersOf(instance.pool()).stream()
                        .filter(WorkerUse::countsInPool)
                        .count();
        int limit = (int) Math.max(1, Math.floor(size * MAX_UNAVAILABLE_FRACTION));
        if (unavailable.getOrDefault(instance.pool(), 0) >= limit) {
            return false;
        }
        return quiet;
    }

    /**
     * Whether all runs on the instance are known. A worker that has not listed them to this owner
     * may run tasks that an earlier owner started, and so appears to be idle.
     */
    private boolean runsKnown(FleetInstance instance) {
        return !scheduler.fleet().recoveredJobsHeld
                || instance.worker().stream().allMatch(scheduler::hasListedRuns);
    }

    private void startDrain(MaintenanceItem item, long nowMillis) {
        item.worker = worker(instances.get(item.instance)).map(w -> w.entry.id()).orElse(null);
        setCordoned(item, true);
        item.transitionTo(MaintenanceItem.State.DRAINING, nowMillis);
    }

    /**
     * Whether the maintenance of the item may be ordered: its tasks have ended or the wait has
     * reached its limit, and the availability budgets permit it.
     */
    private boolean isDrained(MaintenanceItem item, long nowMillis) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker == null) {
            return true;
        }
        boolean shortTasks =
                worker.tasks.values().stream().anyMatch(t -> !t.step.definition.lasting());
        if (shortTasks && nowMillis - item.stateSinceMillis < MAX_DRAIN_MILLIS) {
            return false;
        }
        if (budget().permitsEvictingAll(worker)) {
            return true;
        }
        evictExcessTasks(worker, nowMillis);
        return false;
    }

    /**
     * Stops tasks on a worker that has more tasks of a step than the step's budget permits to end
     * together.
     */
    private void evictExcessTasks(WorkerState worker, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            int budget = task.step.definition.maxUnavailable();
            if (budget > 0
                    && task.isServing()
                    && worker.tasksOf(task.step) > budget
                    && budget().permitsStop(task)) {
                scheduler.jobs().stop(task, nowMillis);
            }
        }
    }

    /** Marks the worker's tasks, which then count as unavailable before the order is answered. */
    private void setEvicting(MaintenanceItem item, boolean evicting) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker != null) {
            worker.tasks.values().forEach(task -> task.evicting = evicting);
        }
    }

    private void setCordoned(MaintenanceItem item, boolean cordoned) {
        WorkerState worker = scheduler.fleet().workers.get(item.worker);
        if (worker != null) {
            worker.cordoned = cordoned;
        }
    }

    private AvailabilityBudget budget() {
        return new AvailabilityBudget(scheduler.fleet());
    }

    private double busyCoreFraction(MaintenanceItem item) {
        FleetInstance instance = instances.get(item.instance);
        return instance == null
                ? 0
                : worker(instance).map(w -> 1 - w.freeCoreFraction()).orElse(-1.0);
    }

    /** The pool whose capacity the maintenance of the item reduces. */
    private Optional<PoolId> poolOf(MaintenanceItem item) {
        return Optional.ofNullable(instances.get(item.instance))
                .filter(instance -> WorkerUse.isPoolCapacity(scheduler.fleet(), instance))
                .map(FleetInstance::pool);
    }

    private Optional<WorkerState> worker(FleetInstance instance) {
        return instance.worker().map(scheduler.fleet().workers::get);
    }
}
