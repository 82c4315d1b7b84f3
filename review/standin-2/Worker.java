import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A machine with the worker that runs on it. The worker runs tasks under a lease on its own steady
 * clock, does nothing for a lower fencing token than the highest it has seen, and lists the ends of
 * runs until they are acknowledged. A task's text says how long it works, for example {@code
 * "ms=640"}, by how many percent that differs from task to task ({@code spread=50}), how many
 * of its runs fail ({@code fail=1}) and how often it saves ({@code save=1000}).
 */
final class Worker {
    private static final int MAX_LEASE_MILLIS = 6_000;
    private static final int MAX_WAIT_MILLIS = 2_000;
    private static final int MAX_ENDS = 500;
    private static final int STOP_MILLIS = 100;
    private static final int QUEUE = 16;
    private static final int RESTORE_MILLIS = 600;
    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int MISSED_HEARTBEATS = 3;

    /** One run, as the workers saw it. */
    static final class Run {
        final String task;
        final long number;
        final String worker;
        final double start;
        final long cpu;
        volatile double end = Double.MAX_VALUE;
        volatile String how = "";
        volatile boolean acknowledged;

        /** Whether the worker's lease lapsed between the end and its acknowledgement. */
        volatile boolean lapsedBefore;

        Run(String task, long number, String worker, double start, long cpu) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.start = start;
            this.cpu = cpu;
        }
    }

    private static final class Running {
        Run run;
        long sinceMillis;
        long workMillis;
        long resumedMillis;
        long saveMillis;
        boolean fails;
        long stopAtMillis = Long.MAX_VALUE;

        long endMillis() {
            return Math.min(stopAtMillis, sinceMillis + workMillis - resumedMillis);
        }

        String saved(long now) {
            if (saveMillis == 0) {
                return "";
            }
            long done = resumedMillis + Math.max(0, now - sinceMillis);
            long saved = stopAtMillis <= now ? done : done / saveMillis * saveMillis;
            return saved == 0 ? "" : String.format("%08x%08x", saved, run.task.hashCode());
        }
    }

    private record End(long number, Run run, String saved) {}

    /** Tells the cpu that a task of a job asks for. */
    @FunctionalInterface
    interface Needs {
        long cpuOf(String task);
    }

    final String machine;
    private final Record record;
    private final Store store;
    private final Needs needs;
    private final List<Run> runs;
    private final String zone;
    private volatile Http.Server server = new Http.Server(this::handle, QUEUE);
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private String id;
    private String service;
    private List<String> labels;
    private long cpu;
    private long memMb;
    private long bornMillis;
    private long bornNanos;
    private long lastEnd;
    private long fence;
    private long leaseMillis;
    private boolean leased;
    private volatile boolean up;
    private volatile boolean cut;
    private long seqNo;

    Worker(
            String machine,
            String zone,
            String service,
            List<String> labels,
            long cpu,
            long memMb,
            Record record,
            Store store,
            Needs needs,
            List<Run> runs) {
        this.machine = machine;
        this.zone = zone;
        this.service = service;
        this.labels = labels;
        this.cpu = cpu;
        this.memMb = memMb;
        this.record = record;
        this.store = store;
        this.needs = needs;
        this.runs = runs;
        Http.daemon("tick-" + machine, this::tickForever);
        Http.daemon("beat-" + machine, this::beatForever);
    }

    /** Begins a life, and registers the worker at once. */
    void begin(String newId) {
        synchronized (this) {
            id = newId;
            bornMillis = System.currentTimeMillis();
            bornNanos = System.nanoTime();
            running.clear();
            highestEnded.clear();
            ends.clear();
            lastEnd = 0;
            fence = 0;
            leased = false;
            seqNo = 0;
            up = true;
        }
        server.start();
        store.put("servers", newId, entry());
        record.add("worker %s begins on %s, born %d", newId, machine, bornMillis);
    }

    /** The process of the worker ends at once, with all that it runs. */
    void crash() {
        end(false);
    }

    /** The machine loses its power: as a crash, but its connections stay silent. */
    void loseThePower() {
        end(true);
    }

    private void end(boolean dark) {
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            for (Running each : running.values()) {
                finish(each.run, "gone");
            }
            record.add("worker %s %s with %d runs", id, dark ? "loses its power" : "crashes", running.size());
            running.clear();
            notifyAll();
        }
        if (dark) {
            server.darken();
        } else {
            server.stop();
        }
        String ended = id;
        // Its entry is removed after three heartbeats of silence.
        Http.daemon(
                "expire-" + machine,
                () -> {
                    sleep(MISSED_HEARTBEATS * HEARTBEAT_MILLIS);
                    if (!up || !id.equals(ended)) {
                        store.remove("servers", ended);
                        record.add("entry of worker %s is removed", ended);
                    }
                });
    }

    /** The worker is cut off from all nodes and from the store, and runs on. */
    synchronized void cut(boolean isCut) {
        cut = isCut;
        record.add("worker %s %s", id, isCut ? "is cut off" : "is reached again");
    }

    /** The next life of the worker has another address; the former one stays dark. */
    void takeNewAddress() {
        server = new Http.Server(this::handle, QUEUE);
    }

    synchronized String id() {
        return id;
    }

    synchronized String service() {
        return service;
    }

    synchronized void joinService(String name) {
        service = name;
    }

    synchronized boolean isUp() {
        return up;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized long cpuInUse() {
        return running.values().stream().mapToLong(each -> each.run.cpu).sum();
    }

    synchronized long cpu() {
        return cpu;
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized int unacknowledged() {
        return ends.size();
    }

    synchronized Map<String, Object> listing(String state) {
        return Json.map(
                "machine", machine,
                "pool", service,
                "state", state,
                "zone", zone,
                "labels", labels,
                "capacity", capacity(),
                "id", state.equals("up") ? id : "");
    }

    private Map<String, Object> capacity() {
        return Json.map("cpu", cpu, "memMb", memMb, "gpu", 0);
    }

    private synchronized Map<String, Object> entry() {
        return Json.map(
                "service", service,
                "address", server.address(),
                "zone", zone,
                "version", "v1",
                "slots", 8,
                "state", "ready",
                "coldRemainingMs", 0,
                "seqNo", ++seqNo,
                "capacity", capacity(),
                "labels", labels,
                "born", bornMillis);
    }

    private void beatForever() {
        while (true) {
            sleep(HEARTBEAT_MILLIS);
            if (up && !cut && !store.isDown()) {
                store.put("servers", id, entry());
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private long clockMillis() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private Http.Reply handle(Http.Request request) throws InterruptedException {
        if (cut) {
            return Http.Reply.SILENT;
        }
        Http.Reply reply = carryOut(request);
        return cut ? Http.Reply.SILENT : reply;
    }

    private synchronized Http.Reply carryOut(Http.Request request) throws InterruptedException {
        if (!up) {
            // Without power, the server answers nothing instead.
            return Http.Reply.RESET;
        }
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return Http.Reply.json(421, answer());
        }
        tick();
        Map<String, Object> body = Json.readMap(request.body());
        if (Json.number(body, "fence") < fence) {
            return refuse("fence");
        }
        fence = Json.number(body, "fence");
        switch (request.path()) {
            case "/v1/run-start":
                return start(body);
            case "/v1/run-stop":
                return stop(body);
            case "/v1/hold":
                return hold(body);
            case "/v1/pace":
                return Http.Reply.json(200, answer());
            default:
                return Http.Reply.json(404, answer());
        }
    }

    private Map<String, Object> answer() {
        return Json.map("clockMs", clockMillis(), "born", bornMillis);
    }

    private Http.Reply refuse(String reason) {
        Map<String, Object> answer = answer();
        answer.put("reason", reason);
        return Http.Reply.json(409, answer);
    }

    private void extend(long deadlineMillis) {
        long most = clockMillis() + MAX_LEASE_MILLIS;
        leaseMillis = Math.max(leaseMillis, Math.min(deadlineMillis, most));
        leased = true;
    }

    private Http.Reply start(Map<String, Object> body) {
        String task = Json.text(body, "task");
        long number = Json.number(body, "runId");
        Running present = running.get(task);
        if (present != null && present.run.number == number) {
            return Http.Reply.json(200, answer());
        }
        if (Json.number(body, "deadlineMs") <= clockMillis()) {
            return refuse("late");
        }
        extend(Json.number(body, "deadlineMs"));
        if (present != null || number <= highestEnded.getOrDefault(task, 0L)) {
            return refuse("old");
        }
        Map<String, Long> plan = new HashMap<>();
        for (String word : Json.text(body, "spec").split(" ")) {
            String[] pair = word.split("=");
            if (pair.length == 2 && pair[1].matches("[0-9]+")) {
                plan.put(pair[0], Long.parseLong(pair[1]));
            }
        }
        Running added = new Running();
        added.run = new Run(task, number, id + "/" + bornMillis, record.seconds(), needs.cpuOf(task));
        added.sinceMillis = clockMillis();
        long spread = plan.getOrDefault("spread", 0L);
        long percent = 100 - spread + Math.floorMod(task.hashCode() * 0x9E3779B1, 2 * (int) spread + 1);
        added.workMillis = plan.getOrDefault("ms", 500L) * percent / 100;
        added.saveMillis = plan.getOrDefault("save", 0L);
        added.fails = failures(task) < plan.getOrDefault("fail", 0L);
        String checkpoint = Json.text(body, "checkpoint");
        if (!checkpoint.isEmpty()) {
            added.resumedMillis = Long.parseLong(checkpoint.substring(0, 8), 16);
            added.sinceMillis += RESTORE_MILLIS;
        }
        running.put(task, added);
        synchronized (runs) {
            runs.add(added.run);
        }
        if (!Bench.quiet) {
            record.add(
                    "run %s %d starts on %s, fence %d, checkpoint \"%s\"",
                    task, number, id, fence, checkpoint);
        }
        return Http.Reply.json(200, answer());
    }

    /** How many runs of the task have failed on any worker. */
    private long failures(String task) {
        synchronized (runs) {
            return runs.stream()
                    .filter(run -> run.task.equals(task) && run.how.equals("failed"))
                    .count();
        }
    }

    private Http.Reply stop(Map<String, Object> body) {
        String task = Json.text(body, "task");
        long number = Json.number(body, "runId");
        Running present = running.get(task);
        if (present != null && present.run.number <= number) {
            present.stopAtMillis = Math.min(present.stopAtMillis, clockMillis() + STOP_MILLIS);
        }
        highestEnded.merge(task, number, Math::max);
        return Http.Reply.json(200, answer());
    }

    private Http.Reply hold(Map<String, Object> body) throws InterruptedException {
        if (Json.number(body, "deadlineMs") > 0) {
            extend(Json.number(body, "deadlineMs"));
        }
        long cursor = Json.number(body, "ackCursor");
        for (End end : ends) {
            if (end.number() <= cursor) {
                end.run().acknowledged = true;
            }
        }
        ends.removeIf(end -> end.number() <= cursor);
        long until = clockMillis() + Math.min(MAX_WAIT_MILLIS, Json.number(body, "waitMs"));
        long born = bornMillis;
        while (ends.isEmpty() && clockMillis() < until && up && born == bornMillis) {
            wait(Math.max(1, until - clockMillis()));
        }
        if (!up || born != bornMillis) {
            return Http.Reply.RESET;
        }
        return Http.Reply.json(200, lists());
    }

    private Map<String, Object> lists() {
        long now = clockMillis();
        List<Object> runningRows = new ArrayList<>();
        for (Running each : running.values()) {
            long done = each.resumedMillis + Math.max(0, now - each.sinceMillis);
            long percent = Math.min(99, done * 100 / Math.max(1, each.workMillis));
            runningRows.add(
                    List.of(each.run.task, each.run.number, each.saved(now), percent, each.run.cpu));
        }
        List<Object> endRows = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            Run run = end.run();
            endRows.add(List.of(end.number(), run.task, run.number, run.how, end.saved()));
        }
        Map<String, Object> answer = answer();
        answer.put("running", runningRows);
        answer.put("finished", endRows);
        return answer;
    }

    private void tickForever() {
        while (true) {
            sleep(10);
            synchronized (this) {
                if (up) {
                    tick();
                }
            }
        }
    }

    private void tick() {
        long now = clockMillis();
        boolean lapsed = leased && now >= leaseMillis;
        if (lapsed) {
            leased = false;
            ends.forEach(end -> end.run().lapsedBefore = true);
        }
        for (Running each : List.copyOf(running.values())) {
            if (each.endMillis() <= now) {
                boolean stopped = each.stopAtMillis <= each.endMillis();
                end(each, stopped ? "stopped" : each.fails ? "failed" : "done", now);
            } else if (lapsed) {
                end(each, "lapsed", now);
            }
        }
    }

    private void end(Running each, String how, long now) {
        running.remove(each.run.task);
        highestEnded.merge(each.run.task, each.run.number, Math::max);
        finish(each.run, how);
        ends.add(new End(++lastEnd, each.run, how.equals("done") ? "" : each.saved(now)));
        notifyAll();
    }

    private void finish(Run run, String how) {
        run.end = record.seconds();
        run.how = how;
        if (!Bench.quiet) {
            record.add("run %s %d ends %s on %s", run.task, run.number, how, id);
        }
    }
}
