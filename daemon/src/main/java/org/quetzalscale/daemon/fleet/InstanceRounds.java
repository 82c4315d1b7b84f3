package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.MoveOrder;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.schedule.MaintenancePlanner;
import org.quetzalscale.core.schedule.PoolBalancer;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * An owner's rounds over the instances: reads their list, orders maintenance and moves, and reports
 * the waves.
 */
final class InstanceRounds {
    private static final long ROUND_MILLIS = 150;
    private static final long LIST_MILLIS = 500;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final FleetContext context;
    private final LoopClock clock;
    private final PolicyWatcher policies;
    private final Lease lease;
    private final WorkerSession.Term term;
    private final Map<WorkerId, WorkerSession> sessions;
    private final Map<Long, MaintenancePlanner> planners = new LinkedHashMap<>();
    private final Map<Long, String> reported = new HashMap<>();
    private final PoolBalancer balancer;
    private final OrderRecord orders;

    /** Until then instances that an earlier owner gave orders are left alone. */
    private final long ownTurnMillis;

    private Map<Long, Set<InstanceId>> recorded;
    private boolean listing;
    private List<FleetInstance> latest;
    private long listedMillis = Long.MIN_VALUE / 2;

    InstanceRounds(
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
        this.orders = new OrderRecord(context, lease.fence(), term);
        this.ownTurnMillis = clock.nowMillis() + context.times().ownerTurn();
    }

    /** Reads what earlier owners recorded, and begins. */
    void start() {
        if (term.ended()) {
            return;
        }
        context.table()
                .scan(FleetRows.WAVES_PREFIX)
                .thenCombine(orders.read(), this::begin)
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                clock.after(LIST_MILLIS, this::start);
                            }
                        });
    }

    private Void begin(List<Row> waves, Set<InstanceId> ordered) {
        recorded = decode(waves);
        balancer.suspendMoves(ordered, ownTurnMillis);
        round();
        return null;
    }

    private void round() {
        if (term.ended()) {
            return;
        }
        clock.after(ROUND_MILLIS, this::round);
        long now = clock.nowMillis();
        policies.waves().forEach(this::open);
        if (now - listedMillis >= LIST_MILLIS) {
            list();
        }
        // An earlier owner's maintenance may be under way, which counts for the limit of its wave.
        if (now >= ownTurnMillis) {
            planners.values().stream()
                    .filter(planner -> !planner.isCompleted())
                    .forEach(this::order);
        }
        List<MoveOrder> moves = balancer.plan(now);
        orders.before(
                moves.stream().map(MoveOrder::instance).toList(), () -> moves.forEach(this::move));
        planners.values().forEach(this::report);
    }

    /**
     * Whether every worker that an instance runs has answered this owner. Their entries can be
     * missing while they run tasks of an earlier owner.
     */
    boolean allWorkersOpen() {
        return latest != null
                && latest.stream()
                        .filter(FleetInstance::up)
                        .flatMap(instance -> instance.worker().stream())
                        .allMatch(term.scheduler()::hasReported);
    }

    /** Adds waves, with when they have to be done, and the moves that are under way. */
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

    private void open(long number, PolicyWatcher.ReceivedWave wave) {
        planners.computeIfAbsent(
                number,
                ignored ->
                        new MaintenancePlanner(
                                term.scheduler(),
                                wave.request(),
                                wave.receivedMillis(),
                                recorded.getOrDefault(number, Set.of()),
                                context.times().maintenance()));
    }

    private void list() {
        if (listing) {
            return;
        }
        listing = true;
        long asked = clock.nowMillis();
        listedMillis = asked;
        context.instances()
                .list()
                .whenComplete(
                        (list, failure) -> {
                            listing = false;
                            if (term.ended()) {
                                return;
                            }
                            if (failure != null) {
                                Logger.warn(
                                        "event=instances_unknown cause=\"{}\"",
                                        failure.getMessage());
                                return;
                            }
                            take(list, asked);
                        });
    }

    private void take(List<FleetInstance> list, long askedMillis) {
        latest =
                list.stream()
                        .filter(instance -> !term.scheduler().isStandby(instance.pool()))
                        .toList();
        term.scheduler().updateInstances(list, clock.nowMillis()).forEach(this::close);
        balancer.updateInstances(list, askedMillis, clock.nowMillis()).forEach(this::close);
        for (MaintenancePlanner planner : planners.values()) {
            if (!planner.isCompleted()) {
                planner.updateInstances(list, askedMillis, clock.nowMillis()).forEach(this::close);
            }
        }
        term.planSoon();
        boolean awaited =
                planners.values().stream().anyMatch(MaintenancePlanner::needsInstanceList);
        if (awaited || balancer.needsInstanceList()) {
            list();
        }
    }

    private void order(MaintenancePlanner planner) {
        List<InstanceId> ids = planner.plan(clock.nowMillis());
        orders.before(ids, () -> ids.forEach(id -> maintain(planner, id)));
    }

    private void maintain(MaintenancePlanner planner, InstanceId id) {
        context.instances()
                .maintain(id, planner.number(), lease.fence().version())
                .thenAccept(answer -> answered(planner, id, answer));
    }

    private void answered(MaintenancePlanner planner, InstanceId id, InstanceAnswer answer) {
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
            list();
        }
    }

    private void move(MoveOrder order) {
        context.instances()
                .move(order.instance(), order.pool(), lease.fence().version())
                .thenAccept(answer -> moved(order, answer));
    }

    private void moved(MoveOrder order, InstanceAnswer answer) {
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
            list();
        }
    }

    private void close(WorkerId worker) {
        WorkerSession session = sessions.get(worker);
        if (session != null) {
            session.end();
        }
    }

    /** Writes the state of a wave when it has changed. */
    private void report(MaintenancePlanner planner) {
        boolean completed = planner.isCompleted();
        String done = doneText(planner);
        if (done.equals(reported.get(planner.number()))) {
            return;
        }
        reported.put(planner.number(), done);
        Transaction transaction =
                Transaction.builder()
                        .require(lease.fence())
                        .put(FleetRows.wave(planner.number()), done)
                        .put(
                                context.waveStatus().key().apply(planner.number()),
                                context.waveStatus().text().apply(planner.number(), completed))
                        .build();
        context.table()
                .commit(transaction)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                reported.remove(planner.number());
                            } else if (completed) {
                                Logger.info("event=wave_completed wave={}", planner.number());
                            }
                        });
    }

    private static String doneText(MaintenancePlanner planner) {
        ArrayNode ids = JsonNodeFactory.instance.arrayNode();
        planner.done().stream().sorted().forEach(id -> ids.add(id.value()));
        return ids.toString();
    }

    private static Map<Long, Set<InstanceId>> decode(List<Row> rows) {
        Map<Long, Set<InstanceId>> done = new HashMap<>();
        for (Row row : rows) {
            String number = row.key().value().substring(FleetRows.WAVES_PREFIX.length());
            List<InstanceId> ids = new ArrayList<>();
            Json.read(row.value(), JsonNode.class)
                    .forEach(id -> ids.add(new InstanceId(id.asText())));
            done.put(Long.parseLong(number), new HashSet<>(ids));
        }
        return done;
    }
}
