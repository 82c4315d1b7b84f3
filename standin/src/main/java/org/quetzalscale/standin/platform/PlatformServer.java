package org.quetzalscale.standin.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.InMemoryTaskRunner;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpServer;
import org.quetzalscale.net.json.Json;

/** The platform stand-in: serves what the ports need as JSON over HTTP, and fails when told to. */
public final class PlatformServer {
    private static final int THREADS = 2;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final long DETECT_PERIOD_MILLIS = 200;
    private static final HttpReply NO_CONTENT = HttpReply.text(204, "text/plain", new byte[0]);

    private final EventLoopGroup group = EventLoops.create(THREADS, "platform");
    private final StoreService store = new StoreService();
    private final MachineRegistry registry;
    private final InMemoryTaskRunner taskRunner;
    private final FleetService fleet;
    private final Map<String, FaultGate> gates;
    private final JsonHttpServer server;

    /** Creates a stand-in that does not listen yet. */
    public PlatformServer(PlatformOptions options) {
        TimeSource time = TimeSource.system();
        registry =
                new MachineRegistry(
                        time,
                        ProcessProbe.system(),
                        options.listLagMillis(),
                        options.goneAfterMillis());
        taskRunner = new InMemoryTaskRunner(time, options.usagePeriodMillis());
        fleet = new FleetService(registry, taskRunner);
        gates =
                Map.of(
                        "table", new FaultGate("table", group),
                        "objects", new FaultGate("objects", group),
                        "machines", new FaultGate("machines", group),
                        "tasks", new FaultGate("tasks", group));
        server =
                new JsonHttpServer(
                        new InetSocketAddress(options.host(), options.port()),
                        group,
                        MAX_BODY_BYTES,
                        this::handle);
    }

    /** Listens and watches the processes of registered machines. */
    public void start() {
        server.start();
        group.next()
                .scheduleAtFixedRate(
                        fleet::detectGone,
                        DETECT_PERIOD_MILLIS,
                        DETECT_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** The port that it listens on. */
    public int port() {
        return server.port();
    }

    /** Closes all connections; the state is lost. May be repeated. */
    public void stop() {
        if (group.isShuttingDown()) {
            return;
        }
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Replaces the faults of a part: table, objects, machines or tasks. */
    public void setFaults(String part, List<FaultRule> rules) {
        gate(part).set(rules);
        if (part.equals("machines")) {
            registry.freeze(rules.stream().anyMatch(rule -> rule.mode() == FaultMode.FREEZE));
        }
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        String[] path = call.path().split("/", 4);
        if (path.length < 3 || !path[1].equals("v1")) {
            throw unknownPath(call);
        }
        return switch (path[2]) {
            case "table" -> gate("table").pass(call, () -> store.table(call));
            case "objects" -> gate("objects").pass(call, () -> store.objects(call));
            case "machines" -> gate("machines").pass(call, () -> fleet.machines(call));
            case "tasks" -> gate("tasks").pass(call, () -> fleet.tasks(call));
            case "faults" -> faults(call);
            case "statistics" -> CompletableFuture.completedFuture(statistics());
            default -> throw unknownPath(call);
        };
    }

    /** PUT /v1/faults/&lt;part&gt; or PUT and DELETE /v1/faults/workers/&lt;name&gt;. */
    private CompletionStage<HttpReply> faults(HttpCall call) {
        String[] path = call.path().split("/");
        boolean delete = call.method().equals(HttpMethod.DELETE);
        if (path.length == 5 && path[3].equals("workers")) {
            taskRunner.failTasksOf(new WorkerId(path[4]), !delete);
        } else if (path.length == 4) {
            List<FaultRule> rules =
                    delete ? List.of() : Json.read(call.body(), FaultRules.class).rules();
            setFaults(path[3], rules);
        } else {
            throw unknownPath(call);
        }
        return CompletableFuture.completedFuture(NO_CONTENT);
    }

    private HttpReply statistics() {
        return HttpReply.json(
                200,
                new PlatformStatistics(
                        store.tableReads(), store.tableCommits(), store.tableVersion()));
    }

    private FaultGate gate(String part) {
        FaultGate gate = gates.get(part);
        if (gate == null) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_UNKNOWN,
                    "part \"" + part + "\" is not one of table, objects, machines, tasks");
        }
        return gate;
    }

    private static QuetzalscaleException unknownPath(HttpCall call) {
        return new QuetzalscaleException(
                ErrorKind.RESOURCE_UNKNOWN, "path " + call.path() + " does not exist");
    }
}
