package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** A machine with an address, and the worker that runs on it at present. Thread-safe. */
final class Machine {
    /** What the list of instances says of a machine. */
    enum State {
        UP("up"),
        MOVING("moving"),
        DOWN("down");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }

    /** A call that has arrived, and that is not carried out yet. */
    private record HeldCall(String caller, HttpCall call, CompletableFuture<HttpReply> reply) {}

    private static final String ACCELERATOR_FREE_KIND = "a";
    private static final String START_PATH = "/v1/run-start";
    private static final int CPU_MILLIS = 32_000;
    private static final int MEMORY_MB = 131_072;

    private final String name;
    private final String zone;
    private final String rack;
    private final Faults faults;
    private final Scheduler scheduler;
    private final List<HeldCall> held = new ArrayList<>();
    private String pool;
    private String address = "";
    private State state = State.UP;
    private State wrongState;
    private WorkerLife life;
    private String listedId = "";
    private boolean hanging;
    private boolean holdingStarts;
    private final List<HeldCall> heldStarts = new ArrayList<>();
    private long seqNo;

    Machine(
            String name,
            String pool,
            String zone,
            String rack,
            Faults faults,
            Scheduler scheduler) {
        this.name = name;
        this.pool = pool;
        this.zone = zone;
        this.rack = rack;
        this.faults = faults;
        this.scheduler = scheduler;
    }

    String name() {
        return name;
    }

    synchronized String pool() {
        return pool;
    }

    synchronized void moveTo(String newPool) {
        pool = newPool;
    }

    synchronized void listenAt(String newAddress) {
        address = newAddress;
    }

    synchronized Optional<WorkerLife> life() {
        return Optional.ofNullable(life);
    }

    synchronized void setState(State newState) {
        state = newState;
    }

    /** Lists the machine in a state that may be wrong; null for its true state. */
    synchronized void showAs(State newState) {
        wrongState = newState;
    }

    /** Holds the starts that arrive from now on, for the next life. */
    synchronized void holdStarts() {
        holdingStarts = life != null;
    }

    /** Lists the machine as down, unless a worker runs on it or joins soon. */
    synchronized void listDownIfEnded() {
        if (isFree()) {
            state = State.DOWN;
        }
    }

    /** Whether no worker runs on the machine, and none joins soon. */
    synchronized boolean isFree() {
        return life == null && state != State.MOVING;
    }

    /** Begins a life of a worker; a former life has to be ended before. */
    synchronized void begin(WorkerLife newLife) {
        life = newLife;
        state = State.UP;
        listedId = newLife.id();
        seqNo = 0;
        carryOutHeldStarts();
    }

    private void carryOutHeldStarts() {
        holdingStarts = false;
        for (HeldCall start : heldStarts) {
            if (isForOther(start.call())) {
                continue;
            }
            life.carryOut(Order.of(start.caller(), start.call(), true));
        }
        heldStarts.clear();
    }

    private boolean isForOther(HttpCall call) {
        return !call.header("x-expect-instance").orElse(life.id()).equals(life.id());
    }

    /** Ends the worker's life with all that runs on it. */
    synchronized Optional<WorkerLife> end() {
        Optional<WorkerLife> ended = life();
        life = null;
        hanging = false;
        ended.ifPresent(WorkerLife::stop);
        held.forEach(call -> call.reply().complete(WireServer.RESET));
        held.clear();
        return ended;
    }

    /** Makes the worker answer nothing; its tasks run on. */
    synchronized void hang() {
        hanging = true;
    }

    /**
     * Ends a hang.
     *
     * @param carriesOut whether the calls that have arrived meanwhile are carried out
     */
    synchronized void resume(boolean carriesOut) {
        hanging = false;
        List<HeldCall> calls = List.copyOf(held);
        held.clear();
        for (HeldCall heldCall : calls) {
            if (life == null || !carriesOut) {
                heldCall.reply().complete(WireServer.SILENCE);
            } else {
                life.carryOut(Order.of(heldCall.caller(), heldCall.call(), true))
                        .thenAccept(heldCall.reply()::complete);
            }
        }
    }

    /** Handles a call of a node. */
    synchronized CompletionStage<HttpReply> handle(String caller, HttpCall call) {
        if (life == null) {
            return CompletableFuture.completedFuture(WireServer.RESET);
        }
        if (hanging) {
            CompletableFuture<HttpReply> reply = new CompletableFuture<>();
            held.add(new HeldCall(caller, call, reply));
            return reply;
        }
        if (isForOther(call)) {
            return CompletableFuture.completedFuture(HttpReply.json(421, life.answer()));
        }
        if (holdingStarts && call.path().equals(START_PATH)) {
            heldStarts.add(new HeldCall(caller, call, new CompletableFuture<>()));
            return CompletableFuture.completedFuture(WireServer.SILENCE);
        }
        Optional<Fault> fault = faults.drawFor(name, caller);
        if (fault.isEmpty()) {
            return life.carryOut(Order.of(caller, call, false))
                    .thenApply(reply -> faults.isCut(name, caller) ? WireServer.SILENCE : reply);
        }
        return handleWith(fault.get(), caller, call);
    }

    private CompletionStage<HttpReply> handleWith(Fault fault, String caller, HttpCall call) {
        WorkerLife present = life;
        return switch (fault.mode()) {
            case SILENT, CHANGES_LOST -> CompletableFuture.completedFuture(WireServer.SILENCE);
            case RESET -> CompletableFuture.completedFuture(WireServer.RESET);
            case REFUSED ->
                    CompletableFuture.completedFuture(HttpReply.json(503, present.answer()));
            case SLOW, STALE, OLD -> {
                CompletableFuture<HttpReply> reply = new CompletableFuture<>();
                scheduler.after(
                        faults.drawDelayMillis(fault),
                        () ->
                                present.carryOut(Order.of(caller, call, true))
                                        .thenAccept(reply::complete));
                yield reply;
            }
            case ANSWERS_LOST ->
                    present.carryOut(Order.of(caller, call, false))
                            .thenApply(reply -> WireServer.SILENCE);
            case CHANGES_LATE -> {
                scheduler.after(
                        faults.drawDelayMillis(fault),
                        () -> present.carryOut(Order.of(caller, call, true)));
                yield CompletableFuture.completedFuture(WireServer.SILENCE);
            }
        };
    }

    /** The worker's report about itself; empty if no worker runs. */
    synchronized Optional<String> report() {
        if (life == null) {
            return Optional.empty();
        }
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("service", pool)
                        .put("address", address)
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldRemainingMs", 0)
                        .put("seqNo", ++seqNo)
                        .put("born", life.bornMillis());
        describe(node);
        return Optional.of(node.toString());
    }

    /** The machine as the platform lists it. */
    synchronized ObjectNode listing() {
        State shown = wrongState == null ? state : wrongState;
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("machine", name)
                        .put("pool", pool)
                        .put("state", shown.wireName)
                        .put("zone", zone);
        describe(node);
        return shown == State.UP ? node.put("id", listedId) : node.put("id", "");
    }

    private void describe(ObjectNode node) {
        ArrayNode labels = node.putArray("labels");
        labels.add(ACCELERATOR_FREE_KIND).add(rack);
        node.putObject("capacity").put("cpu", CPU_MILLIS).put("memMb", MEMORY_MB).put("gpu", 0);
    }
}
