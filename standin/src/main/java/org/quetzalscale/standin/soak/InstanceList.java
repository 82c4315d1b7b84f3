package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

/** The platform's list of instances, and its orders to move them. */
final class InstanceList {
    private static final String LIST_PATH = "/v1/machines";
    private static final int MOVE_MILLIS = 1_500;
    private static final int HISTORY_MILLIS = 20;

    private final Workers workers;
    private final Faults faults;
    private final Scheduler scheduler;
    private final Timeline timeline;
    private final Map<String, Long> fences = new HashMap<>();
    private final ListHistory history = new ListHistory();
    private ObjectNode stale;

    InstanceList(Workers workers, Faults faults, Scheduler scheduler, Timeline timeline) {
        this.workers = workers;
        this.faults = faults;
        this.scheduler = scheduler;
        this.timeline = timeline;
    }

    /** Begins to keep the states that old lists show. */
    void start() {
        addHistory();
        scheduler.every(HISTORY_MILLIS, this::addHistory);
    }

    private void addHistory() {
        history.add(list(), System.nanoTime());
    }

    /** Keeps the present list for calls that get a stale one. */
    synchronized void keepStale() {
        stale = list();
    }

    /** Handles a call of a node. */
    CompletionStage<HttpReply> handle(String caller, HttpCall call) {
        Optional<Fault> fault = faults.drawFor(Fault.LIST, caller);
        HttpReply reply = fault.isEmpty() ? carryOut(call) : carryOutWith(fault.get(), call);
        if (fault.isEmpty() || fault.get().mode() != FaultMode.SLOW) {
            return CompletableFuture.completedFuture(reply);
        }
        CompletableFuture<HttpReply> late = new CompletableFuture<>();
        scheduler.after(faults.drawDelayMillis(fault.get()), () -> late.complete(reply));
        return late;
    }

    private HttpReply carryOutWith(Fault fault, HttpCall call) {
        return switch (fault.mode()) {
            case SILENT, CHANGES_LOST, CHANGES_LATE, ANSWERS_LOST -> WireServer.SILENCE;
            case RESET -> WireServer.RESET;
            case REFUSED -> HttpReply.json(503, "refused");
            case SLOW -> carryOut(call);
            case STALE -> isRead(call) ? HttpReply.json(200, stale()) : carryOut(call);
            case OLD -> isRead(call) ? HttpReply.json(200, old(fault)) : carryOut(call);
        };
    }

    private static boolean isRead(HttpCall call) {
        return call.path().equals(LIST_PATH);
    }

    private ObjectNode old(Fault fault) {
        return history.state(fault.delayMillis(), System.nanoTime());
    }

    private synchronized ObjectNode stale() {
        return stale;
    }

    private HttpReply carryOut(HttpCall call) {
        return switch (call.path()) {
            case LIST_PATH -> HttpReply.json(200, list());
            case "/v1/machine-move" -> order(call);
            default -> HttpReply.json(400, "unknown call");
        };
    }

    private ObjectNode list() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        var machines = body.putArray("machines");
        workers.machines().forEach(machine -> machines.add(machine.listing()));
        return body.put("nextToken", "");
    }

    private synchronized HttpReply order(HttpCall call) {
        JsonNode body = Json.readTree(call.body());
        long fence = call.header("x-fencing-token").map(Long::parseLong).orElse(0L);
        Optional<Machine> machine =
                workers.machines().stream()
                        .filter(m -> m.name().equals(body.path("machine").asText()))
                        .findFirst();
        if (machine.isEmpty()) {
            return HttpReply.json(400, "no such machine");
        }
        String pool = body.path("pool").asText();
        if (fence < fences.getOrDefault(machine.get().name(), 0L)) {
            return refuse("fence");
        }
        fences.put(machine.get().name(), fence);
        if (machine.get().pool().equals(pool)) {
            return HttpReply.json(200, JsonNodeFactory.instance.objectNode());
        }
        if (machine.get().life().isEmpty()) {
            return refuse("busy");
        }
        timeline.add("list: a node orders the move of %s to %s", machine.get().name(), pool);
        move(machine.get(), pool);
        return HttpReply.json(200, JsonNodeFactory.instance.objectNode());
    }

    private static HttpReply refuse(String reason) {
        return HttpReply.json(409, JsonNodeFactory.instance.objectNode().put("reason", reason));
    }

    /** Ends the machine's worker; another one joins the pool after the move. */
    void move(Machine machine, String pool) {
        machine.setState(Machine.State.MOVING);
        workers.crash(machine);
        machine.moveTo(pool);
        scheduler.after(MOVE_MILLIS, () -> workers.join(machine));
    }
}
