package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker that runs tasks under leases, as the pages describe it. It rejects nothing for room. */
final class Worker {
    /** How a run ends by itself. */
    record Plan(long millis, String how) {}

    /** Chooses the end of a run; null for one that lasts. */
    interface Planner {
        Plan plan(String task, long run);
    }

    private static final int HOLD_MAX_MILLIS = 6_000;
    private static final int MAX_ENDS = 500;
    private static final int TICK_MILLIS = 5;
    private static final int STARTUP_MILLIS = 300;

    private final class Run {
        final String task;
        final long run;
        final long sinceMillis;
        final Plan plan;
        final Runs.Entry entry;
        boolean stopping;

        Run(String task, long run, long sinceMillis, Plan plan, Runs.Entry entry) {
            this.task = task;
            this.run = run;
            this.sinceMillis = sinceMillis;
            this.plan = plan;
            this.entry = entry;
        }

        int percent(long now) {
            long whole = plan == null ? STARTUP_MILLIS : plan.millis();
            long cap = plan == null ? 100 : 99;
            return (int) Math.min(cap, (now - sinceMillis) * 100 / Math.max(1, whole));
        }
    }

    private record End(long number, String task, long run, String how) {}

    final String id;
    final String rack;
    private final String zone;
    private final String service;
    private final Store store;
    private final Record record;
    private final Runs runs;
    private final Planner planner;
    private final String kind;
    private final Http http;
    private final long bornEpochMillis = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final int heartbeatMillis;
    private long lastEnd;
    private long fence;
    private long leaseUntil;
    private long seqNo;

    /** Whether the path to the store is cut. */
    volatile boolean cutFromStore;

    /** When the entry was last written. */
    volatile long lastBeatNanos;

    volatile boolean listed;

    /** The highest end that a hold has acknowledged. */
    volatile long acknowledged;

    Worker(String id, String service, String zone, String kind, String rack, int heartbeatMillis,
            Store store, Record record, Runs runs, Planner planner)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.kind = kind;
        this.rack = rack;
        this.heartbeatMillis = heartbeatMillis;
        this.store = store;
        this.record = record;
        this.runs = runs;
        this.planner = planner;
        this.http = new Http(this::handle);
        daemon(this::tickForever);
        daemon(this::beatForever);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized boolean runsAny() {
        return !running.isEmpty();
    }

    synchronized long endsListed() {
        return lastEnd;
    }

    private void beatForever() {
        while (true) {
            beat();
            sleep(heartbeatMillis);
        }
    }

    private synchronized void beat() {
        if (cutFromStore) {
            return;
        }
        store.put("servers", id, entry());
        lastBeatNanos = System.nanoTime();
        if (!listed) {
            listed = true;
            record.line("store: worker %s is listed", id);
        }
    }

    /** The platform removes an entry after three heartbeat intervals of silence. */
    void expire() {
        if (listed && System.nanoTime() - lastBeatNanos > 3_000_000L * heartbeatMillis) {
            listed = false;
            store.remove("servers", id);
            record.line("store: the entry of worker %s is removed", id);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private String entry() {
        ObjectNode node =
                Json.object()
                        .put("service", service)
                        .put("address", http.address())
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldRemainingMs", 0)
                        .put("seqNo", ++seqNo)
                        .put("born", bornEpochMillis);
        node.putArray("labels").add(kind).add(rack);
        node.set("capacity", capacity());
        return node.toString();
    }

    static ObjectNode capacity() {
        return Json.object().put("cpu", 64_000).put("memMb", 131_072).put("gpu", 0);
    }

    /** The worker's machine as the platform lists it. */
    ObjectNode machine() {
        ObjectNode node =
                Json.object()
                        .put("machine", "m-" + id)
                        .put("pool", service)
                        .put("state", "up")
                        .put("zone", zone)
                        .put("id", id);
        node.putArray("labels").add(kind).add(rack);
        node.set("capacity", capacity());
        return node;
    }

    private Http.Reply handle(Http.Call call) throws Exception {
        String expected = call.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Reply(421, answer());
        }
        JsonNode body = call.json();
        return switch (call.path()) {
            case "/v1/run-start" -> start(body);
            case "/v1/run-stop" -> stop(body);
            case "/v1/hold" -> hold(body);
            case "/v1/pace" -> pace(body);
            default -> new Http.Reply(404, Json.object());
        };
    }

    private ObjectNode answer() {
        return Json.object().put("clockMs", clock()).put("born", bornEpochMillis);
    }

    private Http.Reply refuse(String reason) {
        return new Http.Reply(409, answer().put("reason", reason));
    }

    private boolean isFenced(JsonNode body) {
        long given = body.path("fence").asLong(0);
        fence = Math.max(fence, given);
        return given < fence;
    }

    private void extend(long deadline) {
        leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
    }

    private synchronized Http.Reply start(JsonNode body) {
        if (isFenced(body)) {
            return refuse("fence");
        }
        String task = body.path("task").asText();
        long run = body.path("runId").asLong();
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return new Http.Reply(200, answer());
        }
        if (body.path("deadlineMs").asLong() <= clock()) {
            return refuse("late");
        }
        if (present != null || run <= highestEnded.getOrDefault(task, 0L)) {
            extend(body.path("deadlineMs").asLong());
            return refuse("old");
        }
        extend(body.path("deadlineMs").asLong());
        Runs.Entry entry = runs.started(task, run, id);
        running.put(task, new Run(task, run, clock(), planner.plan(task, run), entry));
        return new Http.Reply(200, answer());
    }

    private synchronized Http.Reply stop(JsonNode body) {
        if (isFenced(body)) {
            return refuse("fence");
        }
        String task = body.path("task").asText();
        long run = body.path("runId").asLong();
        Run present = running.get(task);
        if (present != null && present.run <= run) {
            present.stopping = true;
        }
        highestEnded.merge(task, run, Math::max);
        return new Http.Reply(200, answer());
    }

    private synchronized Http.Reply pace(JsonNode body) {
        return isFenced(body) ? refuse("fence") : new Http.Reply(200, answer());
    }

    private synchronized Http.Reply hold(JsonNode body) throws InterruptedException {
        if (isFenced(body)) {
            return refuse("fence");
        }
        if (body.has("deadlineMs")) {
            extend(body.path("deadlineMs").asLong());
        }
        long cursor = body.path("ackCursor").asLong(0);
        acknowledged = Math.max(acknowledged, cursor);
        ends.removeIf(end -> end.number() <= cursor);
        long until = System.nanoTime() + Math.min(2_000, body.path("waitMs").asLong(0)) * 1_000_000;
        while (ends.isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        ObjectNode reply = answer();
        ArrayNode rows = reply.putArray("running");
        long now = clock();
        for (Run run : running.values()) {
            rows.addArray().add(run.task).add(run.run).add("").add(run.percent(now)).add(0);
        }
        ArrayNode finished = reply.putArray("finished");
        ends.stream()
                .limit(MAX_ENDS)
                .forEach(
                        end ->
                                finished.addArray()
                                        .add(end.number())
                                        .add(end.task())
                                        .add(end.run())
                                        .add(end.how())
                                        .add(""));
        return new Http.Reply(200, reply);
    }

    private void tickForever() {
        while (true) {
            sleep(TICK_MILLIS);
            tick();
        }
    }

    private synchronized void tick() {
        long now = clock();
        for (Run run : List.copyOf(running.values())) {
            if (now >= leaseUntil) {
                end(run, "lapsed");
            } else if (run.plan != null && now - run.sinceMillis >= run.plan.millis()) {
                end(run, run.plan.how());
            } else if (run.stopping) {
                end(run, "stopped");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.run, Math::max);
        ends.add(new End(++lastEnd, run.task, run.run, how));
        runs.ended(run.entry, how);
        notifyAll();
    }
}
