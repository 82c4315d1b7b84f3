import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's list of machines, and its orders to move and maintain them. */
final class Cloud {
    private static final int MOVE_MILLIS = 1_500;
    private static final int UPKEEP_MILLIS = 2_000;

    /** One upkeep, as the platform saw it. */
    record Upkeep(String machine, double start, double end, String holder, long fence, boolean late) {}

    private final Record record;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, String> states = new HashMap<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final Map<String, Long> waveDone = new HashMap<>();
    private final Http.Server server = new Http.Server(this::handle);
    final List<Upkeep> upkeeps = new ArrayList<>();
    private int lives;
    private Tamper tamper = request -> false;

    /** Decides whether an order gets no answer and is carried out later. */
    @FunctionalInterface
    interface Tamper {
        boolean holdsUp(Http.Request request);
    }

    Cloud(Record record) {
        this.record = record;
    }

    String start() {
        server.start();
        return server.address();
    }

    void stop() {
        server.stop();
    }

    synchronized void setTamper(Tamper newTamper) {
        tamper = newTamper;
    }

    synchronized void add(Worker worker) {
        workers.put(worker.machine, worker);
        states.put(worker.machine, "up");
        worker.begin(newId());
    }

    synchronized String newId() {
        return String.format("w%07x", 0x5a1000 + ++lives * 7919);
    }

    synchronized List<Worker> workers() {
        return List.copyOf(workers.values());
    }

    /** The worker's process ends; the machine is listed as down until it begins again. */
    synchronized void crash(Worker worker) {
        worker.crash();
        states.put(worker.machine, "down");
    }

    /** The worker's machine loses its power. */
    synchronized void darken(Worker worker) {
        worker.loseThePower();
        states.put(worker.machine, "down");
    }

    synchronized void begin(Worker worker, String id) {
        worker.begin(id);
        states.put(worker.machine, "up");
    }

    /** The number of machines that are down for their upkeep. */
    synchronized int upkeepsNow() {
        double now = record.seconds();
        return (int) upkeeps.stream().filter(u -> u.start() <= now && u.end() > now).count();
    }

    private Http.Reply handle(Http.Request request) {
        switch (request.path()) {
            case "/v1/machines":
                return list();
            case "/v1/machine-move":
            case "/v1/machine-upkeep":
                return order(request);
            default:
                return Http.Reply.json(404, Json.map());
        }
    }

    private synchronized Http.Reply list() {
        List<Object> machines = new ArrayList<>();
        workers.forEach((name, worker) -> machines.add(worker.listing(states.get(name))));
        return Http.Reply.json(200, Json.map("machines", machines, "nextToken", ""));
    }

    private Http.Reply order(Http.Request request) {
        if (tamper.holdsUp(request)) {
            return Http.Reply.SILENT;
        }
        return carryOut(request, false);
    }

    synchronized Http.Reply carryOut(Http.Request request, boolean late) {
        Map<String, Object> body = Json.readMap(request.body());
        String machine = Json.text(body, "machine");
        String holder = request.header("x-lease-holder");
        long fence = Long.parseLong(request.header("x-fencing-token"));
        Http.Reply reply = decide(request.path(), body, machine, holder, fence, late);
        record.add(
                "%s %s by %s, fence %d%s: %d %s",
                request.path(),
                request.body(),
                holder,
                fence,
                late ? ", carried out late" : "",
                reply.status(),
                reply.body());
        return reply;
    }

    private Http.Reply decide(
            String path,
            Map<String, Object> body,
            String machine,
            String holder,
            long fence,
            boolean late) {
        Worker worker = workers.get(machine);
        if (worker == null) {
            return Http.Reply.json(400, Json.map());
        }
        if (fence < fences.getOrDefault(machine, 0L)) {
            return Http.Reply.json(409, Json.map("reason", "fence"));
        }
        fences.put(machine, fence);
        boolean move = path.equals("/v1/machine-move");
        long wave = Json.number(body, "wave");
        String pool = Json.text(body, "pool");
        boolean done =
                move
                        ? worker.service().equals(pool)
                        : waveDone.getOrDefault(machine, -1L) == wave;
        if (done) {
            return Http.Reply.json(200, Json.map());
        }
        if (!states.get(machine).equals("up")) {
            return Http.Reply.json(409, Json.map("reason", "busy"));
        }
        double now = record.seconds();
        int millis = move ? MOVE_MILLIS : UPKEEP_MILLIS;
        if (!move) {
            waveDone.put(machine, wave);
            upkeeps.add(new Upkeep(machine, now, now + millis / 1e3, holder, fence, late));
        }
        worker.crash();
        states.put(machine, move ? "moving" : "upkeep");
        Http.daemon(
                "return-" + machine,
                () -> {
                    Worker.sleep(millis);
                    synchronized (this) {
                        if (move) {
                            worker.joinService(pool);
                        }
                        begin(worker, newId());
                    }
                });
        return Http.Reply.json(200, Json.map());
    }
}
