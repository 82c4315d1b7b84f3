package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.MoveOrder;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.schedule.MaintenancePlanner;
import org.quetzalscale.core.schedule.PoolBalancer;
import org.quetzalscale.core.schedule.WorkersAtTakeover;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Control loop of an owner over the fleet's instances: reads their list, orders maintenance and
 * moves between pools, and publishes the progress of maintenance waves.
 */
final class InstanceController {
    private static final long LOOP_INTERVAL_MILLIS = 150;
    private static final long LIST_INTERVAL_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final FleetContext context;
    private final LoopClock clock;
    private final PolicyWatcher policies;
    private final Lease lease;
    private final WorkerSession.Term term;
    private final Map<WorkerId, WorkerSession> sessions;
    private final Map<Long, MaintenancePlanner> planners = new LinkedHashMap<>();
    private final Map<Long, String> publishedDone = new HashMap<>();
    private final Map<Long, OwnedRow> waveRows = new HashMap<>();
    private final PoolBalancer balancer;
    private final InstanceOrderLog orderLog;

    /** Until then, no orders are sent for instances that an earlier owner sent orders for. */
    private final long handoverEndMillis;

    private Map<Long, Set<InstanceId>> recordedDone;
    private boolean listInProgress;
    private final WorkersAtTakeover workersAtTakeover = new WorkersAtTakeover();
    private long lastListMillis = Long.MIN_VALUE / 2;

    InstanceController(
            FleetContext context,
            PolicyWatcher policies,
            Lease lease,
            WorkerSession.Term term,
            Map<WorkerId, WorkerSession> sessions) {
        this.context = context;
        this.clock = context.clock();
        this.policies = policies;
        this.lease = lease;
        this.term = term;
        this.sessions = sessions;
        this.balancer = new PoolBalancer(term.scheduler());
        this.orderLog = new InstanceOrderLog(context, lease.fence(), term);
        this.handoverEndMillis = clock.nowMillis() + context.times().ownerHandover();
    }

    /** Loads what earlier owners recorded, then starts the control loop. */
    void start() {
        if (term.ended()) {
            return;
        }
        context.table()
                .scan(FleetRows.WAVES_PREFIX)
                .thenCombine(orderLog.read(), this::startLoop)
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                clock.after(LIST_INTERVAL_MILLIS, this::start);
                            }
                        });
    }

    private Void startLoop(List<Row> waves, Set<InstanceId> ordered) {
        recordedDone = decodeDone(waves);
        balancer.suspendMoves(ordered, handoverEndMillis);
        reconcile();
        return null;
    }

    private void reconcile() {
        if (term.ended()) {
            return;
        }
        clock.after(LOOP_INTERVAL_MILLIS, this::reconcile);
        long now = clock.nowMillis();
        policies.waves().forEach(this::addPlanner);
        if (now - lastListMillis >= LIST_INTERVAL_MILLIS) {
            requestList();
        }
        // No maintenance is ordered before: what an earlier owner ordered may still be in
        // progress, and counts towards the limit of its wave.
        if (now >= handoverEndMillis) {
            planners.values().stream()
                    .filter(planner -> !planner.isCompleted())
                    .forEach(this::orderMaintenance);
        }
        List<MoveOrder> moves = balancer.plan(now);
        orderLog.recordThenSend(
                moves.stream().map(MoveOrder::instance).toList(), () -> moves.forEach(this::move));
        planners.values().forEach(this::publishProgress);
    }

    /**
     * Whether every worker that ran on a listed instance when the term began has listed its runs to
     * this owner. A worker's entry can be missing while the worker still runs tasks of an earlier
     * owner.
     */
    boolean allRunsListed() {
        return workersAtTakeover.areKnown() && unlistedWorkers().isEmpty();
    }

    /** The workers for which recovered jobs wait, for the log. */
    String describeUnlisted() {
        return workersAtTakeover.areKnown()
                ? unlistedWorkers().toString()
                : "list of instances unknown";
    }

    private List<WorkerId> unlistedWorkers() {
        return workersAtTakeover.unlisted(term.scheduler()::hasListedRuns);
    }

    /** Adds the waves with the time left until their deadlines, and the pending moves. */
    void describe(ObjectNode node) {
        ArrayNode waves = node.putArray("waves");
        long now = clock.nowMillis();
        for (MaintenancePlanner planner : planners.values()) {
            waves.addObject()
                    .put("wave", planner.number())
                    .put("done", planner.done().size())
                    .put("instances", planner.size())
                    .put("completed", planner.isCompleted())
                    .put("dueInS", (planner.deadlineMillis() - now) / MILLIS_PER_SECOND);
        }
        ArrayNode moves = node.putArray("moves");
        for (MoveOrder move : balancer.pendingMoves()) {
            moves.addObject()
                    .put("instance", move.instance().value())
                    .put("pool", move.pool().value());
        }
    }

    private void addPlanner(long number, PolicyWatcher.ReceivedWave wave) {
        planners.computeIfAbsent(
                number,
                ignored ->
                        new MaintenancePlanner(
                                term.scheduler(),
                                wave.request(),
                                wave.receivedMillis(),
                                recordedDone.getOrDefault(number, Set.of()),
                                context.times().maintenance()));
    }

    private void requestList() {
        if (listInProgress) {
            return;
        }
        listInProgress = true;
        long requestedMillis = clock.nowMillis();
        lastListMillis = requestedMillis;
        context.instances()
                .list()
                .whenComplete(
                        (list, failure) -> {
                            listInProgress = false;
                            if (term.ended()) {
                                return;
                            }
                            if (failure != null) {
                                Logger.warn(
                                        "event=instances_unknown cause=\"{}\"",
                                        failure.getMessage());
                                return;
                            }
                            updateInstances(list, requestedMillis);
                        });
    }

    private void updateInstances(List<FleetInstance> list, long requestedMillis) {
        workersAtTakeover.update(
                list.stream()
                        .filter(instance -> !term.scheduler().isStandby(instance.pool()))
                        .toList());
        term.scheduler()
                .updateInstances(list, requestedMillis, clock.nowMillis())
                .forEach(this::endSession);
        balancer.updateInstances(list, requestedMillis, clock.nowMillis())
                .forEach(this::endSession);
        for (MaintenancePlanner planner : planners.values()) {
            if (!planner.isCompleted()) {
                planner.updateInstances(list, requestedMillis, clock.nowMillis())
                        .forEach(this::endSession);
            }
        }
        term.planSoon();
        boolean listNeeded =
                planners.values().stream().anyMatch(MaintenancePlanner::needsInstanceList);
        if (listNeeded || balancer.needsInstanceList()) {
            requestList();
        }
    }

    private void orderMaintenance(MaintenancePlanner planner) {
        List<InstanceId> ids = planner.plan(clock.nowMillis());
        ids.forEach(id -> logOrder(planner, id));
        orderLog.recordThenSend(ids, () -> ids.forEach(id -> maintain(planner, id)));
    }

    /** Logs what the owner knows of the worker that the order ends. */
    private void logOrder(MaintenancePlanner planner, InstanceId id) {
        Optional<WorkerId> worker = planner.workerOn(id);
        Logger.info(
                "event=maintenance_ordered wave={} instance={} worker={} reported={}",
                planner.number(),
                id,
                worker.map(WorkerId::value).orElse("none"),
                worker.filter(term.scheduler()::hasReported).isPresent());
    }

    private void maintain(MaintenancePlanner planner, InstanceId id) {
        context.instances()
                .maintain(id, planner.number(), lease.fence().version())
                .thenAccept(answer -> maintenanceAnswered(planner, id, answer));
    }

    private void maintenanceAnswered(
            MaintenancePlanner planner, InstanceId id, InstanceAnswer answer) {
        context.metrics().order("maintenance", answer.name());
        Logger.info(
                "event=maintenance wave={} instance={} answer={}", planner.number(), id, answer);
        if (term.ended()) {
            return;
        }
        if (answer == InstanceAnswer.FENCED) {
            term.fenced(id.value());
            return;
        }
        planner.answered(id, answer, clock.nowMillis());
        if (answer == InstanceAnswer.DONE) {
            requestList();
        }
    }

    private void move(MoveOrder order) {
        context.instances()
                .move(order.instance(), order.pool(), lease.fence().version())
                .thenAccept(answer -> moveAnswered(order, answer));
    }

    private void moveAnswered(MoveOrder order, InstanceAnswer answer) {
        context.metrics().order("move", answer.name());
        Logger.info(
                "event=move instance={} pool={} answer={}", order.instance(), order.pool(), answer);
        if (term.ended()) {
            return;
        }
        if (answer == InstanceAnswer.FENCED) {
            term.fenced(order.instance().value());
            return;
        }
        balancer.answered(order, answer, clock.nowMillis());
        if (answer == InstanceAnswer.DONE) {
            requestList();
        }
    }

    private void endSession(WorkerId worker) {
        WorkerSession session = sessions.get(worker);
        if (session != null) {
            session.end();
        }
    }

    /** Stores the progress of a wave when it has changed. */
    private void publishProgress(MaintenancePlanner planner) {
        boolean completed = planner.isCompleted();
        String done = encodeDone(planner);
        if (done.equals(publishedDone.get(planner.number()))) {
            return;
        }
        publishedDone.put(planner.number(), done);
        waveRow(planner)
                .write(() -> progressRows(planner))
                .whenComplete(
                        (isOwner, failure) -> {
                            if (failure != null) {
                                publishedDone.remove(planner.number());
                            } else if (!isOwner) {
                                term.fenced("store");
                            } else if (completed) {
                                Logger.info("event=wave_completed wave={}", planner.number());
                            }
                        });
    }

    private OwnedRow waveRow(MaintenancePlanner planner) {
        return waveRows.computeIfAbsent(
                planner.number(),
                number -> new OwnedRow(context.table(), lease.fence(), FleetRows.wave(number)));
    }

    private List<Mutation> progressRows(MaintenancePlanner planner) {
        long number = planner.number();
        return List.of(
                Mutation.put(FleetRows.wave(number), encodeDone(planner)),
                Mutation.put(
                        context.waveStatus().key().apply(number),
                        context.waveStatus().text().apply(number, planner.isCompleted())));
    }

    private static String encodeDone(MaintenancePlanner planner) {
        ArrayNode ids = JsonNodeFactory.instance.arrayNode();
        planner.done().stream().sorted().forEach(id -> ids.add(id.value()));
        return ids.toString();
    }

    private static Map<Long, Set<InstanceId>> decodeDone(List<Row> rows) {
        Map<Long, Set<InstanceId>> done = new HashMap<>();
        for (Row row : rows) {
            StoreFailures.applyOrLog(
                    row.key(),
                    () -> {
                        String number =
                                row.key().value().substring(FleetRows.WAVES_PREFIX.length());
                        Set<InstanceId> ids = new HashSet<>();
                        Json.read(row.value(), JsonNode.class)
                                .forEach(id -> ids.add(new InstanceId(id.asText())));
                        done.put(Long.parseLong(number), ids);
                    });
        }
        return done;
    }
}
