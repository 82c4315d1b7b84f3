package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.error.RunState;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpCallException;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.http.LineStream;
import org.quetzalscale.net.json.Json;

/**
 * Calls the operator interface of one of several servers. A server that does not answer is replaced
 * by the next; the one that answered last is tried first.
 */
public final class OperatorClient {
    private static final byte[] NO_BODY = {};
    private static final int FIRST_ERROR_STATUS = 300;

    /** Errors of one instance that another instance may not have. */
    private static final Set<String> INSTANCE_ERRORS =
            Set.of(ErrorKind.CONFIG_STALE.code(), ErrorKind.SHUTTING_DOWN.code());

    private final List<InetSocketAddress> addresses;
    private final List<JsonHttpClient> servers = new ArrayList<>();
    private final Map<String, String> headers;
    private int current;

    /**
     * Creates a client.
     *
     * @param token bearer token, or empty to send none
     * @param group event loops, owned by the caller
     * @param timeoutMillis time limit of each call to one server
     */
    public OperatorClient(
            List<InetSocketAddress> addresses,
            String token,
            EventLoopGroup group,
            int timeoutMillis) {
        this.addresses = List.copyOf(addresses);
        this.headers = token.isEmpty() ? Map.of() : Map.of("Authorization", "Bearer " + token);
        for (InetSocketAddress address : addresses) {
            servers.add(new JsonHttpClient(address, group, timeoutMillis));
        }
    }

    /** Closes the connections. */
    public void stop() {
        servers.forEach(JsonHttpClient::stop);
    }

    /**
     * Reads from the first server that answers.
     *
     * @throws CtlException REFUSED with the server's error, or UNREACHABLE if no server answers
     */
    public JsonNode read(String path, Map<String, List<String>> query) {
        HttpCall call = new HttpCall(HttpMethod.GET, path, query, headers, NO_BODY);
        return send(call, true);
    }

    /**
     * Writes to the first server that can be reached. Another server is tried only if no byte left.
     *
     * @param body the document, or null for none
     * @throws LostAnswerException if the write may have taken effect
     * @throws CtlException REFUSED with the server's error, or UNREACHABLE if nothing was sent
     */
    public JsonNode write(
            HttpMethod method, String path, Map<String, List<String>> query, JsonNode body) {
        byte[] bytes = body == null ? NO_BODY : Json.writeBytes(body);
        return send(new HttpCall(method, path, query, headers, bytes), false);
    }

    /** Opens a stream of lines at the current server. */
    public LineStream stream(
            String path, Map<String, List<String>> query, int idleMillis, Consumer<String> onLine) {
        HttpCall call = new HttpCall(HttpMethod.GET, path, query, headers, NO_BODY);
        return servers.get(current).stream(call, idleMillis, onLine);
    }

    /** Makes the next server the current one. */
    public void useNextServer() {
        current = (current + 1) % servers.size();
    }

    private JsonNode send(HttpCall call, boolean repeatable) {
        StringBuilder failures = new StringBuilder();
        CtlException refusal = null;
        for (int i = 0; i < servers.size(); i++) {
            try {
                return result(sendOnce(call), repeatable);
            } catch (HttpCallException e) {
                if (e.maybeSent() && !repeatable) {
                    throw new LostAnswerException(addresses.get(current) + ": " + e.getMessage());
                }
                failures.append("\n  ").append(addresses.get(current)).append(": ");
                failures.append(e.maybeSent() ? e.getMessage() : e.getCause().getMessage());
            } catch (CtlException e) {
                if (e.errorCode().filter(INSTANCE_ERRORS::contains).isEmpty()) {
                    throw e;
                }
                refusal = e;
            }
            useNextServer();
        }
        if (refusal != null) {
            throw refusal;
        }
        throw new CtlException(ExitCode.UNREACHABLE, "no server answers:" + failures);
    }

    private HttpReply sendOnce(HttpCall call) {
        try {
            return servers.get(current).send(call).toCompletableFuture().join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof HttpCallException known) {
                throw known;
            }
            throw HttpCallException.maybeSent(String.valueOf(e.getCause()));
        }
    }

    private static JsonNode result(HttpReply reply, boolean repeatable) {
        JsonNode body = parse(reply);
        if (reply.status() < FIRST_ERROR_STATUS) {
            return body;
        }
        JsonNode error = body.path("error");
        if (!repeatable && error.path("run").asText().equals(RunState.UNKNOWN.code())) {
            throw new LostAnswerException(error.path("message").asText());
        }
        throw refusal(reply.status(), error);
    }

    /** The refusal that an error answer tells of. */
    static CtlException refusal(HttpReply reply) {
        return refusal(reply.status(), parse(reply).path("error"));
    }

    private static JsonNode parse(HttpReply reply) {
        if (reply.body().length == 0) {
            return Json.mapper().createObjectNode();
        }
        try {
            return Json.readTree(reply.body());
        } catch (QuetzalscaleException e) {
            throw new CtlException(
                    ExitCode.REFUSED,
                    "the server's answer with status "
                            + reply.status()
                            + " is not JSON; is this an operator port?");
        }
    }

    private static CtlException refusal(int status, JsonNode error) {
        String code = error.path("code").asText("status_" + status);
        String message = error.path("message").asText("status " + status);
        String field = error.path("field").asText("");
        String shown = field.isEmpty() || message.contains(field) ? "" : field + ": ";
        return CtlException.refused(code, shown + message + " (" + code + ")");
    }
}
