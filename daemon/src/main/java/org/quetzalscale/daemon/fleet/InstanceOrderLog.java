package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.net.json.Json;
import org.tinylog.Logger;

/**
 * Records for which instances orders are sent, before they are sent. Two owners must not send
 * orders for one instance within the handover time; the record tells a new owner which instances it
 * has to leave alone until then.
 *
 * <p>While the store is unavailable, orders are sent without a record, because nobody can become
 * the owner then.
 */
final class InstanceOrderLog {
    /** Added to the handover time, for the delivery of an order. */
    private static final long MARGIN_MILLIS = 1_000;

    private final FleetContext context;
    private final OwnedRow row;
    private final WorkerSession.Term term;
    private final long retentionMillis;
    private final Map<InstanceId, Long> orderedMillis = new HashMap<>();
    private Set<InstanceId> recorded = Set.of();

    InstanceOrderLog(FleetContext context, Condition fence, WorkerSession.Term term) {
        this.context = context;
        this.row = new OwnedRow(context.table(), fence, FleetRows.RECENT_ORDERS);
        this.term = term;
        this.retentionMillis = context.times().ownerHandover() + MARGIN_MILLIS;
    }

    /** The instances for which orders were sent shortly before the record was last written. */
    CompletionStage<Set<InstanceId>> read() {
        return context.table()
                .read(FleetRows.RECENT_ORDERS)
                .thenApply(row -> row.map(InstanceOrderLog::decode).orElse(Set.of()));
    }

    /** Records the instances, and then sends the orders for them unless the term has ended. */
    void recordThenSend(Collection<InstanceId> ids, Runnable send) {
        if (ids.isEmpty()) {
            return;
        }
        long now = context.clock().nowMillis();
        ids.forEach(id -> orderedMillis.put(id, now));
        if (recorded.containsAll(ids)) {
            send.run();
            return;
        }
        orderedMillis.values().removeIf(ordered -> now - ordered > retentionMillis);
        // If the answer is lost, either the old or the new record may be stored.
        recorded = Set.of();
        AtomicReference<Set<InstanceId>> recent = new AtomicReference<>();
        row.write(
                        () -> {
                            recent.set(Set.copyOf(orderedMillis.keySet()));
                            return List.of(
                                    Mutation.put(FleetRows.RECENT_ORDERS, encode(recent.get())));
                        })
                .whenComplete(
                        (isOwner, failure) -> {
                            if (term.ended()) {
                                return;
                            }
                            if (failure != null) {
                                Logger.warn(
                                        "event=orders_unrecorded instances={} cause=\"{}\"",
                                        ids.size(),
                                        failure.getMessage());
                            } else if (isOwner) {
                                recorded = recent.get();
                            } else {
                                term.fenced("store");
                                return;
                            }
                            send.run();
                        });
    }

    private static String encode(Set<InstanceId> ids) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        ids.stream().sorted().forEach(id -> array.add(id.value()));
        return array.toString();
    }

    private static Set<InstanceId> decode(Row row) {
        Set<InstanceId> ids = new HashSet<>();
        Json.read(row.value(), JsonNode.class).forEach(id -> ids.add(new InstanceId(id.asText())));
        return ids;
    }
}
