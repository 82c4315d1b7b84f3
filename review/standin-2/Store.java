import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.Set;
import java.nio.charset.StandardCharsets;

/** The platform's metadata store: rows, transactions and change feeds. */
final class Store {
    private static final int MAX_ROWS = 500;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int ROW_BYTES = 65_536;
    private static final int TX_MILLIS = 3;
    private static final int MAX_WAIT_MILLIS = 30_000;
    private static final char SEPARATOR = '\u0000';

    private record Value(long version, String text) {}

    private final Record record;
    private final NavigableMap<String, Value> rows = new TreeMap<>();
    private final Map<String, NavigableMap<Long, List<String>>> changes = new TreeMap<>();
    private final Http.Server server = new Http.Server(this::handle);
    private long version;
    private int refused;
    private volatile boolean down;

    Store(Record record) {
        this.record = record;
    }

    String start() {
        server.start();
        return server.address();
    }

    void stop() {
        server.stop();
    }

    /** Answers every call with 503, or serves again. */
    void setDown(boolean isDown) {
        down = isDown;
        record.add("store: %s", isDown ? "down, answers 503" : "serves again");
    }

    boolean isDown() {
        return down;
    }

    /** Number of calls that were refused as invalid. */
    synchronized int refused() {
        return refused;
    }

    /** Writes a row of an empty part, as the operator and the workers do. */
    synchronized long put(String table, String key, Object value) {
        version++;
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        change(place(table, "", key), Base64.getEncoder().encodeToString(bytes));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        change(place(table, "", key), null);
        notifyAll();
    }

    /** The text of a row; empty if there is none. */
    synchronized String text(String table, String part, String key) {
        Value value = rows.get(place(table, part, key));
        return value == null || value.text() == null
                ? ""
                : new String(Base64.getDecoder().decode(value.text()), StandardCharsets.UTF_8);
    }

    private static String place(String table, String part, String key) {
        return table + SEPARATOR + part + SEPARATOR + key;
    }

    private static String place(Map<String, Object> row) {
        return place(Json.text(row, "table"), Json.text(row, "part"), Json.text(row, "key"));
    }

    private void change(String place, String text) {
        String table = place.substring(0, place.indexOf(SEPARATOR));
        NavigableMap<Long, List<String>> ofTable =
                changes.computeIfAbsent(table, name -> new TreeMap<>());
        Value former = rows.put(place, new Value(version, text));
        if (former != null) {
            ofTable.getOrDefault(former.version(), new ArrayList<>()).remove(place);
        }
        ofTable.computeIfAbsent(version, v -> new ArrayList<>()).add(place);
    }

    private Http.Reply handle(Http.Request request) throws InterruptedException {
        Http.Reply unavailable = Http.Reply.json(503, Json.map());
        if (down) {
            return unavailable;
        }
        Http.Reply reply = carryOut(request);
        boolean changed = request.path().equals("/v1/rows-tx") && reply.status() == 200;
        return down && !changed ? unavailable : reply;
    }

    private Http.Reply carryOut(Http.Request request) throws InterruptedException {
        switch (request.path()) {
            case "/v1/rows-get":
                return range(request);
            case "/v1/rows-feed":
                return feed(request);
            case "/v1/rows-parts":
                return parts(request);
            case "/v1/rows-tx":
                Thread.sleep(TX_MILLIS);
                return transact(request.body());
            default:
                return Http.Reply.json(404, Json.map());
        }
    }

    private Map<String, Object> answer() {
        return Json.map("ver", version, "nowMs", System.nanoTime() / 1_000_000);
    }

    private Map<String, Object> row(String place, Value value) {
        String[] names = place.split(String.valueOf(SEPARATOR), 3);
        Map<String, Object> row =
                Json.map(
                        "table", names[0],
                        "part", names[1],
                        "key", names[2],
                        "ver", value.version());
        row.put(value.text() == null ? "deleted" : "value", value.text() == null ? true : value.text());
        return row;
    }

    private synchronized Http.Reply range(Http.Request request) {
        String prefix = place(request.parameter("table"), request.parameter("part"), "");
        String end = request.parameter("target");
        int limit = request.parameter("limit").isEmpty()
                ? MAX_ROWS
                : Math.min(MAX_ROWS, Integer.parseInt(request.parameter("limit")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Value> entry :
                rows.tailMap(prefix + request.parameter("from")).entrySet()) {
            String place = entry.getKey();
            if (!place.startsWith(prefix)
                    || !end.isEmpty() && place.substring(prefix.length()).compareTo(end) >= 0) {
                break;
            }
            if (entry.getValue().text() == null) {
                continue;
            }
            if (found.size() >= limit) {
                more = true;
                break;
            }
            found.add(row(place, entry.getValue()));
        }
        Map<String, Object> answer = answer();
        answer.put("rows", found);
        answer.put("hasMore", more);
        return Http.Reply.json(200, answer);
    }

    private synchronized Http.Reply parts(Http.Request request) {
        Set<String> names = new TreeSet<>();
        rows.forEach(
                (place, value) -> {
                    String[] words = place.split(String.valueOf(SEPARATOR), 3);
                    if (value.text() != null && words[0].equals(request.parameter("table"))) {
                        names.add(words[1]);
                    }
                });
        Map<String, Object> answer = answer();
        answer.put("parts", new ArrayList<>(names));
        answer.put("hasMore", false);
        return Http.Reply.json(200, answer);
    }

    private synchronized Http.Reply feed(Http.Request request) throws InterruptedException {
        String table = request.parameter("table");
        long after = Long.parseLong(request.parameter("after"));
        long wait =
                request.parameter("waitMs").isEmpty()
                        ? 0
                        : Math.min(MAX_WAIT_MILLIS, Long.parseLong(request.parameter("waitMs")));
        long until = System.nanoTime() / 1_000_000 + wait;
        List<Object> found = changesAfter(table, after);
        long left = until - System.nanoTime() / 1_000_000;
        while (found.isEmpty() && left > 0) {
            wait(left);
            found = changesAfter(table, after);
            left = until - System.nanoTime() / 1_000_000;
        }
        Map<String, Object> answer = answer();
        answer.put("rows", found);
        return Http.Reply.json(200, answer);
    }

    private List<Object> changesAfter(String table, long after) {
        List<Object> found = new ArrayList<>();
        changes.getOrDefault(table, new TreeMap<>())
                .tailMap(after, false)
                .values()
                .forEach(places -> places.forEach(p -> found.add(row(p, rows.get(p)))));
        return found;
    }

    private synchronized Http.Reply transact(String text) {
        Map<String, Object> body = Json.readMap(text);
        String invalid = invalid(text, body);
        if (!invalid.isEmpty()) {
            refused++;
            if (refused <= 20 || refused % 100 == 0) {
                record.add("store: call %d refused with 400: %s", refused, invalid);
            }
            return Http.Reply.json(400, Json.map("error", invalid));
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> expected : Json.maps(body, "expectedRev")) {
            Value value = rows.get(place(expected));
            boolean exists = value != null && value.text() != null;
            holds &= Json.number(expected, "ver") == (exists ? value.version() : 0);
            if (exists) {
                current.add(row(place(expected), value));
            }
        }
        if (!holds) {
            Map<String, Object> answer = answer();
            answer.put("rows", current);
            return Http.Reply.json(412, answer);
        }
        version++;
        Json.maps(body, "writes").forEach(row -> change(place(row), Json.text(row, "value")));
        Json.maps(body, "remove").forEach(row -> change(place(row), null));
        notifyAll();
        return Http.Reply.json(200, answer());
    }

    /** Why a transaction is invalid; empty if it is valid. */
    private static String invalid(String text, Map<String, Object> body) {
        if (text.length() > MAX_CALL_BYTES) {
            return "the call has " + text.length() + " bytes";
        }
        int entries = 0;
        Set<String> parts = new TreeSet<>();
        for (String kind : List.of("expectedRev", "writes", "remove")) {
            for (Map<String, Object> entry : Json.maps(body, kind)) {
                entries++;
                parts.add(Json.text(entry, "part"));
                int bytes = Json.text(entry, "value").length() / 4 * 3;
                if (bytes > ROW_BYTES) {
                    return "row " + Json.text(entry, "table") + "/" + Json.text(entry, "part") + "/"
                            + Json.text(entry, "key") + " has " + bytes + " bytes";
                }
            }
        }
        if (entries > MAX_ENTRIES) {
            return entries + " entries";
        }
        return parts.size() > 1 && !Boolean.TRUE.equals(body.get("across")) ? "several parts" : "";
    }
}
