package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** A small deployment on loopback: the store, the list of machines, workers and nodes. */
final class Deployment implements AutoCloseable {
    static final String KEY = "key-of-acme";
    static final String SERVICE = "lab";
    static final String PREFIX = "/quick/";

    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int ROW_BYTES = 65_536;

    final Record record;
    final Runs runs;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final Http cloud;

    Deployment(Path caseFolder, int nodeCount, int workerCount, Worker.Planner planner)
            throws Exception {
        Path repository = Path.of("").toAbsolutePath();
        Path folder = Path.of(System.getProperty("review.folder"));
        Files.createDirectories(folder);
        record = new Record(caseFolder.resolve("record.txt"));
        runs = new Runs(record);
        store = new Store(record, ROW_BYTES);
        cloud = new Http(this::machines);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(
                    new Node(
                            "front-" + (i + 1), repository, folder, store, cloud.address(), record));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::kill)));
        store.put("op", "config", config());
        for (int i = 0; i < workerCount; i++) {
            workers.add(
                    new Worker(
                            "w-" + (i + 1),
                            SERVICE,
                            "osijek-a",
                            i == 0 ? "b" : "a",
                            "r1-" + (i / 4 + 1),
                            HEARTBEAT_MILLIS,
                            store,
                            record,
                            runs,
                            planner));
            Thread.sleep(HEARTBEAT_MILLIS / workerCount);
        }
        Thread expiry = new Thread(this::expireForever);
        expiry.setDaemon(true);
        expiry.start();
        for (Node node : nodes) {
            node.start();
        }
        await("all nodes are ready", 30_000, () -> nodes.stream().allMatch(Node::isReady));
        await("a node owns the fleet", 30_000, () -> owner() != null);
    }

    private void expireForever() {
        while (true) {
            workers.forEach(Worker::expire);
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Http.Reply machines(Http.Call call) {
        if (!call.path().equals("/v1/machines")) {
            return new Http.Reply(409, Json.object().put("reason", "busy"));
        }
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("machines");
        workers.forEach(worker -> list.add(worker.machine()));
        return new Http.Reply(200, body.put("nextToken", ""));
    }

    /** One queue of one service; the nodes' addresses are the hosts of its routes. */
    private String config() {
        ObjectNode root = Json.object().put("version", 7);
        ArrayNode routes = root.putArray("routes");
        for (Node node : nodes) {
            routes.addObject()
                    .put("name", "quick")
                    .put("host", "127.0.0.1:" + node.port)
                    .put("pathPrefix", PREFIX)
                    .put("service", SERVICE)
                    .put("priority", 0)
                    .put("maxAttempts", 3)
                    .put("stretch", 2.2)
                    .put("targetRuntimeMs", 2_500);
        }
        root.putArray("services").addObject().put("name", SERVICE).put("admissionCheck", false);
        ObjectNode tenant = root.putArray("tenants").addObject().put("name", "acme");
        tenant.putArray("apiKeys").add(KEY);
        tenant.put("weight", 100);
        tenant.putObject("cap").put("cpu", 0).put("memMb", 0).put("gpu", 0);
        return root.toString();
    }

    Node owner() throws IOException {
        for (Node node : nodes) {
            if (node.ownsFleet()) {
                return node;
            }
        }
        return null;
    }

    Node notOwner() throws IOException {
        Node owner = owner();
        return nodes.stream().filter(node -> node != owner && node.isAlive()).findFirst().get();
    }

    /** Waits for a condition; the case cannot run without it. */
    void await(String what, long millis, Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                record.line("setup: timed out waiting until %s", what);
                throw new CannotRun(what);
            }
            Thread.sleep(5);
        }
        record.line("setup: %s", what);
    }

    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String what) {
            super("not reached: " + what);
        }
    }

    @Override
    public void close() {
        nodes.forEach(Node::kill);
    }
}
