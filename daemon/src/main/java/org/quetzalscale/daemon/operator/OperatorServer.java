package org.quetzalscale.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.FieldReader;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpServer;
import org.quetzalscale.net.json.Json;

/** Serves the operator interface. */
public final class OperatorServer {
    private static final int MAX_BODY_BYTES = 256 << 10;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_READY = 503;
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String AUTHORIZATION = "authorization";
    private static final String BEARER = "Bearer ";

    private final JsonHttpServer server;
    private final boolean tokenRequired;
    private final byte[] token;
    private final ConfigService config;
    private final OperatorHooks hooks;
    private final ResourceReader reader;
    private final ResourceWriter writer;
    private final Watches watches;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group event loops, owned by the caller
     * @param token the bearer token that operators present, or empty to require none; then the
     *     address must be a loopback address
     */
    public OperatorServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            String token,
            ConfigService config,
            OperatorHooks hooks) {
        if (token.isEmpty() && !bindAddress.getAddress().isLoopbackAddress()) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_SETTING,
                    "an operator port at " + bindAddress + " requires an operator token");
        }
        this.server = new JsonHttpServer(bindAddress, group, MAX_BODY_BYTES, this::handle);
        this.tokenRequired = !token.isEmpty();
        this.token = (BEARER + token).getBytes(StandardCharsets.UTF_8);
        this.config = config;
        this.hooks = hooks;
        this.reader = new ResourceReader(config, hooks);
        this.writer = new ResourceWriter(config, reader);
        this.watches = new Watches(config, reader, group);
    }

    /** Listens. */
    public void start() {
        watches.start();
        server.start();
    }

    /** Returns the port that it listens on. */
    public int port() {
        return server.port();
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        watches.stop();
        server.stop();
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        switch (call.path()) {
            case "/healthz":
                return done(text(STATUS_OK, "ok\n"));
            case "/readyz":
                return done(readiness());
            case "/metrics":
                return done(
                        HttpReply.text(
                                STATUS_OK,
                                METRICS_TYPE,
                                hooks.metrics().get().getBytes(StandardCharsets.UTF_8)));
            default:
                authorize(call);
                return route(call);
        }
    }

    private HttpReply readiness() {
        if (!config.isValid()) {
            return text(STATUS_NOT_READY, "configuration not valid\n");
        }
        if (!hooks.ready().getAsBoolean()) {
            return text(STATUS_NOT_READY, "not ready\n");
        }
        return text(STATUS_OK, "ready\n");
    }

    private void authorize(HttpCall call) {
        if (!tokenRequired) {
            return;
        }
        byte[] presented = call.header(AUTHORIZATION).orElse("").getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(presented, token)) {
            throw new QuetzalscaleException(
                    ErrorKind.OPERATOR_UNAUTHORIZED, "the operator token is missing or wrong");
        }
    }

    private CompletionStage<HttpReply> route(HttpCall call) {
        String[] parts = call.path().split("/", -1);
        if (parts.length < 3 || parts.length > 4 || !parts[1].equals("v1")) {
            throw unknownPath(call);
        }
        if (parts[2].equals("status") && parts.length == 3) {
            requireGet(call);
            return done(HttpReply.json(STATUS_OK, status()));
        }
        if (parts[2].equals("revisions") && parts.length == 4) {
            requireGet(call);
            return done(HttpReply.json(STATUS_OK, revision(parts[3])));
        }
        Kind kind = Kind.ofPath(parts[2]).orElseThrow(() -> unknownPath(call));
        return parts.length == 3 ? ofKind(call, kind) : ofResource(call, kind, parts[3]);
    }

    private CompletionStage<HttpReply> ofKind(HttpCall call, Kind kind) {
        if (call.method().equals(HttpMethod.POST)) {
            return writer.create(kind, call.body());
        }
        requireGet(call);
        if (call.parameter("watch").filter("true"::equals).isPresent()) {
            return watches.open(kind, call.parameter("from").map(from -> number("from", from)));
        }
        return done(HttpReply.json(STATUS_OK, reader.list(kind)));
    }

    private CompletionStage<HttpReply> ofResource(HttpCall call, Kind kind, String name) {
        if (call.method().equals(HttpMethod.PUT)) {
            return writer.replace(kind, name, call.body());
        }
        if (call.method().equals(HttpMethod.DELETE)) {
            return writer.delete(
                    kind,
                    name,
                    call.parameter("resourceVersion")
                            .map(version -> number("resourceVersion", version)));
        }
        requireGet(call);
        return done(HttpReply.json(STATUS_OK, reader.read(kind, name)));
    }

    private ObjectNode status() {
        Statement own = config.statement();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("instance", config.self().value())
                .put("revision", own.applied().value())
                .put("highestRevisionSeen", own.seen().value())
                .put("configValid", own.validForMillis() > 0)
                .put("configValidForMs", own.validForMillis())
                .put("ready", config.isValid() && hooks.ready().getAsBoolean());
        ArrayNode known = node.putArray("knownInstances");
        config.known().forEach(id -> known.add(id.value()));
        hooks.status()
                .get()
                .forEach((name, value) -> node.set(name, Json.mapper().valueToTree(value)));
        return node;
    }

    private ObjectNode revision(String text) {
        Revision revision = number("revision", text);
        if (revision.isNewerThan(config.statement().seen())) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_UNKNOWN, "revision " + revision + " is not known here");
        }
        var pending = config.pending(revision);
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("revision", revision.value()).put("inForce", pending.isEmpty());
        ArrayNode instances = node.putArray("pending");
        pending.forEach(id -> instances.add(id.value()));
        return node;
    }

    private static Revision number(String field, String text) {
        try {
            return new Revision(Long.parseLong(text));
        } catch (NumberFormatException e) {
            throw FieldReader.invalid(field, text, "expected a whole number");
        }
    }

    private static void requireGet(HttpCall call) {
        if (!call.method().equals(HttpMethod.GET)) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED,
                    call.path() + " does not take " + call.method().name());
        }
    }

    private static QuetzalscaleException unknownPath(HttpCall call) {
        return new QuetzalscaleException(
                ErrorKind.RESOURCE_UNKNOWN, "no such path: " + call.path());
    }

    private static HttpReply text(int status, String text) {
        return HttpReply.text(
                status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
