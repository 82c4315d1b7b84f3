package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

/**
 * The platform's list of machines with orders for their upkeep in one wave. Counts the machines
 * that are down at once, and can carry out one order late. Thread-safe.
 */
final class UpkeepCloud implements WireServer.Handler {
    private static final int UPKEEP_MILLIS = 2_000;

    private final CaseBench bench;
    private final Set<String> wave;
    private final int cap;
    private final Map<String, Long> fences = new HashMap<>();
    private final Set<String> begun = new HashSet<>();
    private final Set<String> down = new HashSet<>();
    private int lateMillis;
    private boolean capExceeded;
    private String lateCaller = "";

    UpkeepCloud(CaseBench bench, Set<String> wave, int cap) {
        this.bench = bench;
        this.wave = wave;
        this.cap = cap;
    }

    /** The next order gets no answer and is carried out after a time. */
    synchronized void carryOutNextLate(int millis) {
        lateMillis = millis;
    }

    /** The node whose order is carried out late; empty as long as there is none. */
    synchronized String lateCaller() {
        return lateCaller;
    }

    synchronized boolean hasExceededCap() {
        return capExceeded;
    }

    /** Whether all machines of the wave have had their upkeep. */
    synchronized boolean isDone() {
        return begun.containsAll(wave) && down.isEmpty();
    }

    @Override
    public synchronized CompletionStage<HttpReply> handle(String caller, HttpCall call) {
        if (call.path().equals("/v1/machines")) {
            return bench.list.handle(caller, call).thenApply(this::withUpkeep);
        }
        if (!call.path().equals("/v1/machine-upkeep")) {
            return bench.list.handle(caller, call);
        }
        JsonNode body = Json.readTree(call.body());
        String machine = body.path("machine").asText();
        long fence = call.header("x-fencing-token").map(Long::parseLong).orElse(0L);
        if (lateMillis > 0) {
            int delay = lateMillis;
            lateMillis = 0;
            lateCaller = caller;
            bench.record.add(
                    "cloud: the upkeep of %s, ordered by %s with token %d, gets no answer and is"
                            + " carried out in %d ms",
                    machine, caller, fence, delay);
            bench.scheduler.after(delay, () -> carryOut(caller, machine, fence));
            return CompletableFuture.completedFuture(WireServer.SILENCE);
        }
        return CompletableFuture.completedFuture(carryOut(caller, machine, fence));
    }

    private synchronized HttpReply carryOut(String caller, String name, long fence) {
        HttpReply reply = apply(caller, name, fence);
        bench.record.add(
                "cloud: upkeep of %s for %s with token %d -> %d %s",
                name, caller, fence, reply.status(), new String(reply.body()));
        return reply;
    }

    private HttpReply apply(String caller, String name, long fence) {
        if (!wave.contains(name)) {
            return refuse("wave");
        }
        if (fence < fences.getOrDefault(name, 0L)) {
            return refuse("fence");
        }
        fences.put(name, fence);
        if (begun.contains(name)) {
            return HttpReply.json(200, JsonNodeFactory.instance.objectNode());
        }
        Machine machine =
                bench.workers.machines().stream()
                        .filter(m -> m.name().equals(name))
                        .findFirst()
                        .orElseThrow();
        if (machine.life().isEmpty()) {
            return refuse("busy");
        }
        if (down.size() >= cap) {
            capExceeded = true;
            bench.record.add(
                    "cloud: the upkeep of %s begins while %s is down for its own; cap %d",
                    name, down, cap);
        }
        begun.add(name);
        down.add(name);
        bench.workers.crash(machine);
        bench.scheduler.after(UPKEEP_MILLIS, () -> end(machine));
        return HttpReply.json(200, JsonNodeFactory.instance.objectNode());
    }

    private synchronized void end(Machine machine) {
        down.remove(machine.name());
        bench.workers.join(machine);
        bench.record.add("cloud: the upkeep of %s has ended", machine.name());
    }

    private static HttpReply refuse(String reason) {
        return HttpReply.json(409, JsonNodeFactory.instance.objectNode().put("reason", reason));
    }

    private synchronized HttpReply withUpkeep(HttpReply reply) {
        JsonNode body = Json.readTree(reply.body());
        for (JsonNode machine : body.path("machines")) {
            if (down.contains(machine.path("machine").asText())) {
                ((ObjectNode) machine).put("state", "upkeep").put("id", "");
            }
        }
        return HttpReply.json(200, body);
    }
}
