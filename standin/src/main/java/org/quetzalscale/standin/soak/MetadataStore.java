package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

/** The metadata store as nodes call it, with its faults. */
final class MetadataStore {
    private static final String TRANSACTION = "/v1/rows-tx";
    private static final int TRANSACTION_MILLIS = 3;

    private final StoreRows rows;
    private final Faults faults;
    private final RelayAddresses relayAddresses;
    private final Scheduler scheduler;
    private final Timeline timeline;

    MetadataStore(
            StoreRows rows,
            RelayAddresses relayAddresses,
            Faults faults,
            Scheduler scheduler,
            Timeline timeline) {
        this.rows = rows;
        this.relayAddresses = relayAddresses;
        this.faults = faults;
        this.scheduler = scheduler;
        this.timeline = timeline;
    }

    /** Handles a call of a node. */
    CompletionStage<HttpReply> handle(String caller, HttpCall call) {
        Optional<Fault> fault = faults.drawFor(Fault.STORE, caller);
        if (fault.isEmpty()) {
            return carryOut(call).thenApply(reply -> unlessCut(caller, reply));
        }
        return handleWith(fault.get(), caller, call);
    }

    private CompletionStage<HttpReply> handleWith(Fault fault, String caller, HttpCall call) {
        boolean isChange = call.path().equals(TRANSACTION);
        return switch (fault.mode()) {
            case SILENT -> CompletableFuture.completedFuture(WireServer.SILENCE);
            case RESET -> CompletableFuture.completedFuture(WireServer.RESET);
            case REFUSED -> CompletableFuture.completedFuture(HttpReply.json(503, "refused"));
            case SLOW -> carryOutLater(call, faults.drawDelayMillis(fault));
            case ANSWERS_LOST -> carryOut(call).thenApply(reply -> WireServer.SILENCE);
            case CHANGES_LOST ->
                    isChange
                            ? CompletableFuture.completedFuture(WireServer.SILENCE)
                            : carryOut(call);
            case CHANGES_LATE -> isChange ? changeLate(fault, caller, call) : carryOut(call);
            case STALE, OLD -> carryOut(call);
        };
    }

    private HttpReply unlessCut(String caller, HttpReply reply) {
        return faults.isCut(Fault.STORE, caller) ? WireServer.SILENCE : reply;
    }

    private CompletionStage<HttpReply> changeLate(Fault fault, String caller, HttpCall call) {
        int delay = faults.drawDelayMillis(fault);
        carryOutLater(call, delay)
                .thenAccept(
                        reply ->
                                timeline.add(
                                        "store: a write of %s is carried out %d ms late, status %d",
                                        caller, delay, reply.status()));
        return CompletableFuture.completedFuture(WireServer.SILENCE);
    }

    private CompletionStage<HttpReply> carryOutLater(HttpCall call, int delayMillis) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        scheduler.after(delayMillis, () -> carryOut(call).thenAccept(reply::complete));
        return reply;
    }

    private CompletionStage<HttpReply> carryOut(HttpCall call) {
        return switch (call.path()) {
            case "/v1/rows-get" -> CompletableFuture.completedFuture(rows.range(call));
            case "/v1/rows-parts" -> CompletableFuture.completedFuture(rows.parts(call));
            case "/v1/rows-feed" -> rows.feed(call);
            case TRANSACTION -> transact(Json.readTree(call.body()));
            default -> CompletableFuture.completedFuture(HttpReply.json(404, "unknown call"));
        };
    }

    private CompletionStage<HttpReply> transact(JsonNode body) {
        relayAddresses.replaceIn(body);
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        scheduler.after(TRANSACTION_MILLIS, () -> reply.complete(rows.transact(body)));
        return reply;
    }
}
