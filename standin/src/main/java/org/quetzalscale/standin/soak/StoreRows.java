package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** The rows of the metadata store, with transactions, ranges and change feeds. Thread-safe. */
final class StoreRows {
    /** A row's place; rows of a table and part are in the order of their keys. */
    record Place(String table, String part, String key) implements Comparable<Place> {
        static Place of(JsonNode node) {
            return new Place(
                    node.path("table").asText(),
                    node.path("part").asText(),
                    node.path("key").asText());
        }

        @Override
        public int compareTo(Place other) {
            int tables = table.compareTo(other.table);
            int parts = tables != 0 ? tables : part.compareTo(other.part);
            return parts != 0 ? parts : key.compareTo(other.key);
        }
    }

    /** A row's value in Base64; null if it was removed. */
    private record Value(long version, String text) {}

    private record Waiter(String table, long after, CompletableFuture<HttpReply> reply) {}

    private record Moment(long nanos, long version) {}

    private static final int MAX_ROWS = 500;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final long HISTORY_NANOS = 20_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final Set<String> RESERVED_TABLES = Set.of("op", "servers");

    private final Scheduler scheduler;
    private final Consumer<Place> onWrite;
    private final NavigableMap<Place, Value> rows = new TreeMap<>();
    private final Map<String, NavigableMap<Long, List<Place>>> changes = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final Deque<Moment> history = new ArrayDeque<>();
    private long forgotten;
    private long version;

    /**
     * Creates an empty store.
     *
     * @param onWrite called with each row that a node writes, while the store is locked
     */
    StoreRows(Scheduler scheduler, Consumer<Place> onWrite) {
        this.scheduler = scheduler;
        this.onWrite = onWrite;
    }

    /** Writes a row of an empty part, as the operator and the workers do. */
    synchronized void put(String table, String key, String text) {
        version++;
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        change(new Place(table, "", key), Base64.getEncoder().encodeToString(bytes));
        wakeWaiters();
    }

    synchronized void remove(String table, String key) {
        Place place = new Place(table, "", key);
        if (textOf(place) != null) {
            version++;
            change(place, null);
            wakeWaiters();
        }
    }

    /** The text of a row; empty if there is none. */
    synchronized String text(Place place) {
        String text = textOf(place);
        return text == null
                ? ""
                : new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }

    private String textOf(Place place) {
        Value value = rows.get(place);
        return value == null ? null : value.text();
    }

    private long versionOf(Place place) {
        Value value = rows.get(place);
        return value == null || value.text() == null ? 0 : value.version();
    }

    private void change(Place place, String text) {
        NavigableMap<Long, List<Place>> table =
                changes.computeIfAbsent(place.table(), name -> new TreeMap<>());
        Value former = rows.put(place, new Value(version, text));
        if (former != null) {
            List<Place> places = table.get(former.version());
            places.remove(place);
            if (places.isEmpty()) {
                table.remove(former.version());
            }
        }
        table.computeIfAbsent(version, v -> new ArrayList<>()).add(place);
        forgetHistory();
    }

    private void forgetHistory() {
        long now = System.nanoTime();
        history.add(new Moment(now, version));
        while (now - history.peek().nanos() > HISTORY_NANOS) {
            forgotten = history.poll().version();
        }
    }

    synchronized HttpReply range(HttpCall call) {
        String table = call.parameter("table").orElse("");
        String part = call.parameter("part").orElse("");
        String from = call.parameter("from").orElse("");
        String end = call.parameter("target").orElse(null);
        int limit = Math.min(MAX_ROWS, integer(call, "limit", MAX_ROWS));
        ObjectNode body = answer();
        ArrayNode found = body.putArray("rows");
        boolean more = false;
        for (Map.Entry<Place, Value> row : rows.tailMap(new Place(table, part, from)).entrySet()) {
            Place place = row.getKey();
            boolean outside =
                    !place.table().equals(table)
                            || !place.part().equals(part)
                            || end != null && place.key().compareTo(end) >= 0;
            if (outside || found.size() >= limit) {
                more = !outside;
                break;
            }
            if (row.getValue().text() != null) {
                found.add(node(place, row.getValue()));
            }
        }
        return HttpReply.json(200, body.put("hasMore", more));
    }

    synchronized HttpReply parts(HttpCall call) {
        String table = call.parameter("table").orElse("");
        Set<String> names = new TreeSet<>();
        rows.forEach(
                (place, value) -> {
                    if (value.text() != null && place.table().equals(table)) {
                        names.add(place.part());
                    }
                });
        ObjectNode body = answer();
        names.forEach(body.putArray("parts")::add);
        return HttpReply.json(200, body.put("hasMore", false));
    }

    /** Answers with the changes of a table as soon as there is one, or when the wait is over. */
    synchronized CompletionStage<HttpReply> feed(HttpCall call) {
        String table = call.parameter("table").orElse("");
        long after = integer(call, "after", 0);
        int waitMillis = integer(call, "waitMs", 0);
        if (after < forgotten && after != version) {
            return CompletableFuture.completedFuture(HttpReply.json(410, answer()));
        }
        HttpReply now = changesAfter(table, after);
        if (now != null || waitMillis <= 0) {
            return CompletableFuture.completedFuture(now != null ? now : noChanges());
        }
        Waiter waiter = new Waiter(table, after, new CompletableFuture<>());
        waiters.add(waiter);
        scheduler.after(waitMillis, () -> giveUp(waiter));
        return waiter.reply();
    }

    private synchronized void giveUp(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.reply().complete(noChanges());
        }
    }

    private HttpReply noChanges() {
        ObjectNode body = answer();
        body.putArray("rows");
        return HttpReply.json(200, body);
    }

    private HttpReply changesAfter(String table, long after) {
        NavigableMap<Long, List<Place>> changed =
                changes.getOrDefault(table, new TreeMap<>()).tailMap(after, false);
        if (changed.isEmpty()) {
            return null;
        }
        ObjectNode body = answer();
        ArrayNode found = body.putArray("rows");
        changed.values().forEach(places -> places.forEach(p -> found.add(node(p, rows.get(p)))));
        return HttpReply.json(200, body);
    }

    private void wakeWaiters() {
        for (Waiter waiter : List.copyOf(waiters)) {
            HttpReply reply = changesAfter(waiter.table(), waiter.after());
            if (reply != null) {
                waiters.remove(waiter);
                waiter.reply().complete(reply);
            }
        }
    }

    /** Applies all entries of a transaction, or none. */
    synchronized HttpReply transact(JsonNode body) {
        int refusal = refusal(body);
        if (refusal != 0) {
            return HttpReply.json(refusal, answer());
        }
        ArrayNode current = JsonNodeFactory.instance.arrayNode();
        boolean holds = true;
        for (JsonNode expected : body.path("expectedRev")) {
            Place place = Place.of(expected);
            long found = versionOf(place);
            holds &= found == expected.path("ver").longValue();
            if (found != 0) {
                current.add(node(place, rows.get(place)));
            }
        }
        if (!holds) {
            ObjectNode answer = answer();
            answer.set("rows", current);
            return HttpReply.json(412, answer);
        }
        apply(body);
        return HttpReply.json(200, answer());
    }

    private void apply(JsonNode body) {
        version++;
        for (JsonNode write : body.path("writes")) {
            Place place = Place.of(write);
            change(place, write.path("value").asText());
            onWrite.accept(place);
        }
        for (JsonNode removal : body.path("remove")) {
            Place place = Place.of(removal);
            if (textOf(place) != null) {
                change(place, null);
            }
        }
        wakeWaiters();
    }

    /** The status with which a transaction is refused as invalid; 0 if it is valid. */
    private static int refusal(JsonNode body) {
        int entries = 0;
        Set<String> parts = new TreeSet<>();
        for (String kind : List.of("expectedRev", "writes", "remove")) {
            for (JsonNode entry : body.path(kind)) {
                entries++;
                Place place = Place.of(entry);
                parts.add(place.part());
                if (!kind.equals("expectedRev") && RESERVED_TABLES.contains(place.table())) {
                    return 403;
                }
                if (entry.path("value").asText().length() * 3L / 4 > MAX_ROW_BYTES) {
                    return 400;
                }
            }
        }
        boolean across = body.path("across").booleanValue();
        return entries > MAX_ENTRIES || parts.size() > 1 && !across ? 400 : 0;
    }

    private ObjectNode answer() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("ver", version)
                .put("nowMs", System.nanoTime() / NANOS_PER_MILLI);
    }

    private static ObjectNode node(Place place, Value value) {
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("table", place.table())
                        .put("part", place.part())
                        .put("key", place.key())
                        .put("ver", value.version());
        return value.text() == null ? node.put("deleted", true) : node.put("value", value.text());
    }

    private static int integer(HttpCall call, String name, int otherwise) {
        return call.parameter(name).map(Integer::parseInt).orElse(otherwise);
    }
}
