package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** The platform's store: rows, transactions and feeds, as the pages describe them. */
final class Store {
    /** What happens to a transaction. */
    enum Fate {
        SERVED,
        /** Carried out {@link #lateMillis} later if its conditions still hold; no answer. */
        LATE
    }

    private static final int MAX_ENTRIES = 100;
    private static final int MAX_TX_BYTES = 1_000_000;
    private static final int MAX_ROWS = 500;
    private static final int TX_MILLIS = 3;

    private record Key(String table, String part, String key) {
        static Key of(JsonNode node) {
            return new Key(
                    node.path("table").asText(),
                    node.path("part").asText(),
                    node.path("key").asText());
        }
    }

    /** The value is Base64; null if the row was removed. */
    private record Row(long version, String value) {}

    private static final Comparator<Key> ORDER =
            Comparator.comparing(Key::table).thenComparing(Key::part).thenComparing(Key::key);

    private final TreeMap<Key, Row> rows = new TreeMap<>(ORDER);
    private final Http http;
    private final Record record;
    private final int rowBytes;
    private long version;

    /** Decides on each transaction of the system. */
    volatile Function<JsonNode, Fate> fate = body -> Fate.SERVED;

    volatile long lateMillis = 5_800;

    /** Transactions of the system, and those that got no answer. */
    final AtomicLong writes = new AtomicLong();

    final AtomicLong unanswered = new AtomicLong();

    /** Transactions that the store refused because they exceed its limits. */
    final AtomicLong tooLarge = new AtomicLong();

    Store(Record record, int rowBytes) throws IOException {
        this.record = record;
        this.rowBytes = rowBytes;
        this.http = new Http(this::handle);
    }

    String address() {
        return http.address();
    }

    /** Writes a row as the operator or a worker does. */
    synchronized void put(String table, String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        rows.put(
                new Key(table, "", key),
                new Row(++version, Base64.getEncoder().encodeToString(bytes)));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        Row known = rows.get(new Key(table, "", key));
        if (known != null && known.value() != null) {
            rows.put(new Key(table, "", key), new Row(++version, null));
            notifyAll();
        }
    }

    private Http.Reply handle(Http.Call call) throws Exception {
        return switch (call.path()) {
            case "/v1/rows-get" -> range(call);
            case "/v1/rows-feed" -> feed(call);
            case "/v1/rows-parts" -> parts(call);
            case "/v1/rows-tx" -> write(call);
            default -> new Http.Reply(404, Json.object());
        };
    }

    private synchronized Http.Reply range(Http.Call call) {
        String from = call.query().getOrDefault("from", "");
        String end = call.query().get("target");
        long limit = Math.min(MAX_ROWS, call.number("limit", MAX_ROWS));
        ObjectNode body = answer();
        ArrayNode found = body.putArray("rows");
        boolean more = false;
        for (Map.Entry<Key, Row> row : rows.entrySet()) {
            Key key = row.getKey();
            if (row.getValue().value() == null
                    || !key.table().equals(call.query().get("table"))
                    || !key.part().equals(call.query().getOrDefault("part", ""))
                    || key.key().compareTo(from) < 0
                    || end != null && key.key().compareTo(end) >= 0) {
                continue;
            }
            if (found.size() >= limit) {
                more = true;
                break;
            }
            found.add(node(key, row.getValue()));
        }
        body.put("hasMore", more);
        return new Http.Reply(200, body);
    }

    private synchronized Http.Reply parts(Http.Call call) {
        Set<String> names = new java.util.TreeSet<>();
        rows.forEach(
                (key, row) -> {
                    if (row.value() != null && key.table().equals(call.query().get("table"))) {
                        names.add(key.part());
                    }
                });
        ObjectNode body = answer();
        names.forEach(body.putArray("parts")::add);
        return new Http.Reply(200, body.put("hasMore", false));
    }

    private synchronized Http.Reply feed(Http.Call call) throws InterruptedException {
        String table = call.query().get("table");
        long after = call.number("after", 0);
        long until = System.nanoTime() + call.number("waitMs", 0) * 1_000_000;
        while (true) {
            TreeMap<Long, ArrayNode> changed = new TreeMap<>();
            rows.forEach(
                    (key, row) -> {
                        if (key.table().equals(table) && row.version() > after) {
                            changed.computeIfAbsent(
                                            row.version(), v -> Json.object().putArray("rows"))
                                    .add(node(key, row));
                        }
                    });
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                ObjectNode body = answer();
                ArrayNode all = body.putArray("rows");
                changed.values().forEach(all::addAll);
                return new Http.Reply(200, body);
            }
            wait(left);
        }
    }

    private Http.Reply write(Http.Call call) throws InterruptedException {
        Thread.sleep(TX_MILLIS);
        JsonNode body = call.json();
        writes.incrementAndGet();
        if (fate.apply(body) == Fate.LATE) {
            unanswered.incrementAndGet();
            record.line("store: a write gets no answer, and is carried out %d ms later", lateMillis);
            Thread late = new Thread(() -> writeLate(body, call.body().length));
            late.setDaemon(true);
            late.start();
            return null;
        }
        return transact(body, call.body().length);
    }

    private void writeLate(JsonNode body, int bytes) {
        try {
            Thread.sleep(lateMillis);
        } catch (InterruptedException e) {
            return;
        }
        Http.Reply reply = transact(body, bytes);
        record.line("store: the late write was carried out, status %d", reply.status());
    }

    private synchronized Http.Reply transact(JsonNode body, int bytes) {
        Set<String> parts = new HashSet<>();
        int entries = 0;
        for (String kind : new String[] {"expectedRev", "writes", "remove"}) {
            for (JsonNode entry : body.path(kind)) {
                entries++;
                parts.add(entry.path("part").asText());
                boolean reserved = Set.of("op", "servers").contains(entry.path("table").asText());
                if (reserved && !kind.equals("expectedRev")) {
                    return new Http.Reply(403, Json.object());
                }
                int size = Base64.getDecoder().decode(entry.path("value").asText("")).length;
                if (size > rowBytes) {
                    return refuse("a row of " + size + " bytes");
                }
            }
        }
        if (entries > MAX_ENTRIES || bytes > MAX_TX_BYTES) {
            return refuse(entries + " entries, " + bytes + " bytes");
        }
        if (parts.size() > 1 && !body.path("across").booleanValue()) {
            return refuse("several parts without across");
        }
        ArrayNode current = Json.object().putArray("rows");
        boolean holds = true;
        for (JsonNode expected : body.path("expectedRev")) {
            Key key = Key.of(expected);
            Row row = rows.get(key);
            long found = row == null || row.value() == null ? 0 : row.version();
            holds &= found == expected.path("ver").longValue();
            if (found != 0) {
                current.add(node(key, row));
            }
        }
        if (!holds) {
            ObjectNode answer = answer();
            answer.set("rows", current);
            return new Http.Reply(412, answer);
        }
        version++;
        for (JsonNode entry : body.path("writes")) {
            rows.put(Key.of(entry), new Row(version, entry.path("value").asText()));
        }
        for (JsonNode entry : body.path("remove")) {
            Row known = rows.get(Key.of(entry));
            if (known != null && known.value() != null) {
                rows.put(Key.of(entry), new Row(version, null));
            }
        }
        notifyAll();
        return new Http.Reply(200, answer());
    }

    private Http.Reply refuse(String what) {
        if (tooLarge.getAndIncrement() < 5) {
            record.line("store: refuses %s with 400", what);
        }
        return new Http.Reply(400, Json.object());
    }

    private ObjectNode answer() {
        return Json.object().put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private static ObjectNode node(Key key, Row row) {
        ObjectNode node =
                Json.object()
                        .put("table", key.table())
                        .put("part", key.part())
                        .put("key", key.key())
                        .put("ver", row.version());
        return row.value() == null ? node.put("deleted", true) : node.put("value", row.value());
    }
}
