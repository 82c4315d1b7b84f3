package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.json.Json;

/**
 * A small deployment for one case of the third review: real nodes as processes beside the project's
 * own stand-ins of store, list of instances and workers. The case plays its events itself.
 */
final class CaseBench implements AutoCloseable {
    /** The case could not be played. */
    static final class CannotRunException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRunException(String message) {
            super(message);
        }
    }

    private static final int CALL_MILLIS = 3_000;
    private static final int START_SECONDS = 40;
    private static final String ANY_KEY = DeploymentConfig.TENANTS.get(0).key();

    final Path checkout;
    final Path folder;
    final Timeline record;
    final RunRecord runs;
    final StoreRows rows;
    final Workers workers;
    final Nodes nodes;
    final InstanceList list;
    final Faults faults;
    final Scheduler scheduler = new Scheduler("case");
    private final EventLoopGroup group = EventLoops.create(3, "case");
    private final Scheduler nodeScheduler = new Scheduler("nodes");
    private final Map<String, JsonHttpClient> clients = new HashMap<>();
    private final Map<String, WireServer> storeServers = new HashMap<>();
    private final List<WireServer> listServers = new ArrayList<>();
    private final FreePorts ports = new FreePorts();
    private final CallerLookup callers;
    private final MetadataStore store;
    private final Thread killer;
    private List<String> hosts = List.of();

    CaseBench(Path checkout, Path recordFile) throws IOException {
        this.checkout = checkout.toAbsolutePath();
        this.folder = Files.createTempDirectory("review-3-");
        this.record = new Timeline(recordFile);
        this.runs = new RunRecord(record);
        this.faults = new Faults(1);
        this.rows = new StoreRows(scheduler, this::onStoreWrite);
        this.nodes = new Nodes(rows);
        this.callers = new CallerLookup(nodes::pids);
        this.workers =
                new Workers(
                        new Workers.Context(
                                group, callers, rows, runs, faults, scheduler, record),
                        7);
        this.list = new InstanceList(workers, faults, scheduler, record);
        this.store = new MetadataStore(rows, new RelayAddresses(), faults, scheduler, record);
        this.killer = new Thread(nodes::stop, "kill-nodes");
        Runtime.getRuntime().addShutdownHook(killer);
    }

    private void onStoreWrite(StoreRows.Place place) {
        if (Nodes.isOwnerRow(place)) {
            record.add("store: the owner is %s", rows.text(place));
        }
    }

    /** Starts the workers, and the list of their machines. */
    void startWorkers(int count, List<String> pools) {
        callers.start();
        workers.start(count, pools);
        list.start();
    }

    /**
     * Starts the nodes, with a configuration that the case completes, and waits until all of them
     * are ready and one owns the fleet.
     */
    void startNodes(int nodeCount, Consumer<ObjectNode> configuration) throws IOException {
        List<NodeProcess> created = new ArrayList<>();
        NodeProcess.Context context =
                new NodeProcess.Context(
                        checkout, folder, nodeScheduler, record, (node, line) -> logged(node, line));
        for (int i = 0; i < nodeCount; i++) {
            String name = "node-" + (i + 1);
            WireServer storeServer = new WireServer(group, WireServer.known(name), store::handle);
            WireServer listServer = new WireServer(group, WireServer.known(name), list::handle);
            storeServers.put(name, storeServer);
            listServers.add(listServer);
            created.add(
                    new NodeProcess(
                            new NodeSettings(
                                    name,
                                    Workers.zone(i),
                                    ports.next(NodeSettings.PORTS),
                                    storeServer.address(),
                                    listServer.address()),
                            context));
        }
        nodes.add(created);
        hosts = created.stream().map(n -> "127.0.0.1:" + n.callersAddress().getPort()).toList();
        ObjectNode config =
                (ObjectNode)
                        Json.readTree(
                                DeploymentConfig.text(hosts).getBytes(StandardCharsets.UTF_8));
        configuration.accept(config);
        rows.put("op", "config", config.toString());
        for (NodeProcess node : created) {
            clients.put(
                    node.name(), new JsonHttpClient(node.callersAddress(), group, CALL_MILLIS));
            node.start();
        }
        scheduler.every(50, () -> nodes.all().forEach(NodeProcess::readLog));
        await("all nodes are ready", START_SECONDS, () -> nodes.all().stream().allMatch(this::ready));
        await("a node owns the fleet", START_SECONDS, () -> nodes.owner().isPresent());
        sleep(2_000);
    }

    /** Lines of the nodes' logs that explain a case; the judgement does not use them. */
    private void logged(String node, String line) {
        for (String event :
                List.of("term_", "worker_", "crash", "given_up", "job_ended", "recovered", "refused")) {
            int begin = line.indexOf("event=");
            if (begin >= 0 && line.substring(begin).split(" ")[0].contains(event)) {
                record.add("log of %s: %s", node, line.substring(begin));
                return;
            }
        }
    }

    /** Adds a queue of a service. */
    void addQueue(ObjectNode config, String name, String service, int priority) {
        for (String host : hosts) {
            ((ArrayNode) config.path("routes"))
                    .addObject()
                    .put("name", name)
                    .put("host", host)
                    .put("pathPrefix", "/" + name + "/")
                    .put("service", service)
                    .put("priority", priority)
                    .put("maxAttempts", 3)
                    .put("stretch", 2.2)
                    .put("targetRuntimeMs", 2_500);
        }
    }

    /** Puts a server of the case before a machine's worker, before the nodes are started. */
    WireServer putBefore(Machine machine, WireServer.Handler handler) {
        WireServer server = new WireServer(group, callers, handler);
        machine.listenAt(server.address());
        listServers.add(server);
        return server;
    }

    private boolean ready(NodeProcess node) {
        JsonHttpClient client = new JsonHttpClient(node.readinessAddress(), group, 1_000);
        try {
            HttpCall call = HttpCall.of(HttpMethod.GET, "/v1/ready", new byte[0]);
            return client.send(call).toCompletableFuture().join().status() == 200;
        } catch (RuntimeException e) {
            return false;
        } finally {
            client.stop();
        }
    }

    /** The body of a job of one step. */
    static String body(int count, int cpu, long millis, String requiredLabel) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("spec", WorkPlan.text(millis, false));
        ArrayNode steps = root.putArray("steps");
        ObjectNode step =
                steps.addObject()
                        .put("count", count)
                        .put("cpu", cpu)
                        .put("memMb", 512)
                        .put("estimateMs", millis);
        if (!requiredLabel.isEmpty()) {
            step.put("requires", requiredLabel);
        }
        return root.toString();
    }

    /** Sends a call of a client; empty if there was no answer. */
    Optional<HttpReply> call(HttpMethod method, NodeProcess node, String path, String body) {
        Map<String, String> headers =
                Map.of(
                        "Content-Type", "application/json",
                        "X-Credential", ANY_KEY,
                        "X-Deadline-Ms", Integer.toString(CALL_MILLIS));
        HttpCall call =
                new HttpCall(
                        method, path, Map.of(), headers, body.getBytes(StandardCharsets.UTF_8));
        try {
            HttpReply reply = clients.get(node.name()).send(call).toCompletableFuture().join();
            record.add(
                    "client: %s %s %s at %s -> %d %s",
                    method,
                    path,
                    body,
                    node.name(),
                    reply.status(),
                    new String(reply.body(), StandardCharsets.UTF_8));
            return Optional.of(reply);
        } catch (RuntimeException e) {
            record.add("client: %s %s at %s -> no answer", method, path, node.name());
            return Optional.empty();
        }
    }

    /** Submits a job until it is accepted. */
    void submit(String path, String body) {
        for (int i = 0; i < 20; i++) {
            NodeProcess node = nodes.all().get(i % nodes.all().size());
            Optional<HttpReply> reply = call(HttpMethod.POST, node, path, body);
            if (reply.filter(r -> r.status() / 100 == 2).isPresent()) {
                return;
            }
            sleep(250);
        }
        throw new CannotRunException("the job is not accepted");
    }

    /** The newest run that goes on and meets a condition. */
    Optional<Run> running(Predicate<Run> condition) {
        return runs.runs().stream()
                .filter(run -> Double.isInfinite(run.end()))
                .filter(condition)
                .reduce((first, second) -> second);
    }

    <T> T awaitValue(String what, int seconds, Supplier<Optional<T>> value) {
        double limit = record.seconds() + seconds;
        while (record.seconds() < limit) {
            Optional<T> found = value.get();
            if (found.isPresent()) {
                return found.get();
            }
            sleep(20);
        }
        throw new CannotRunException("not reached: " + what);
    }

    void await(String what, int seconds, Supplier<Boolean> condition) {
        awaitValue(what, seconds, () -> condition.get() ? Optional.of(true) : Optional.empty());
        record.add("%s", what);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        nodeScheduler.stop();
        nodes.stop();
        nodes.all().forEach(
                node ->
                        ProcessHandle.of(node.pid())
                                .ifPresent(process -> process.onExit().join()));
        nodes.all().forEach(NodeProcess::readLog);
        scheduler.stop();
        callers.stop();
        clients.values().forEach(JsonHttpClient::stop);
        workers.stop();
        storeServers.values().forEach(WireServer::stop);
        listServers.forEach(WireServer::stop);
        ports.stop();
        group.shutdownGracefully();
        record.stop();
        deleteFolder();
    }

    private void deleteFolder() {
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("the folder " + folder + " remains: " + e);
        }
    }

    /** Plays a case; its result is the exit code. */
    interface Case {
        /** Returns whether the rule held. */
        boolean play(CaseBench bench, boolean trouble) throws IOException;
    }

    /** Runs a case, and ends this process: 0 if the rule held, 1 if not, 2 if it could not run. */
    static void run(String[] args, Case played) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (CaseBench bench = new CaseBench(Path.of(args[0]), Path.of(args[1]))) {
            try {
                boolean held = played.play(bench, trouble);
                code = held ? 0 : 1;
                bench.record.add("RESULT: the rule %s", held ? "held" : "was broken");
            } catch (CannotRunException e) {
                bench.record.add("RESULT: cannot run: %s", e.getMessage());
                System.err.println(e.getMessage());
            }
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
