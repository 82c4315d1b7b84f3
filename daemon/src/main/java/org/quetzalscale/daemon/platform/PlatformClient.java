package org.quetzalscale.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpCallException;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.json.Json;

/** Sends calls to the platform and turns failures into the error kinds that the ports name. */
final class PlatformClient {
    /** Time limit of a call, in ms; its connection is dropped when it passes. */
    static final int CALL_LIMIT_MILLIS = 1000;

    /** Calls in flight above which calls wait. */
    private static final int MAX_CALLS_IN_FLIGHT = 64;

    private static final String CALLER_HEADER = "Quetzalscale-Instance";
    private static final byte[] NO_BODY = {};
    private static final int NOT_FOUND = 404;

    private final JsonHttpClient client;
    private final CallQueue queue;
    private final Map<String, String> headers;

    PlatformClient(InetSocketAddress address, EventLoopGroup group, String caller) {
        this.client = new JsonHttpClient(address, group, CALL_LIMIT_MILLIS);
        this.queue =
                new CallQueue(
                        client::send, TimeSource.system(), MAX_CALLS_IN_FLIGHT, CALL_LIMIT_MILLIS);
        this.headers = Map.of(CALLER_HEADER, caller);
    }

    /** Closes the connections. */
    void stop() {
        client.stop();
    }

    /**
     * Reads from the platform. Fails with STORE_UNAVAILABLE whatever happened to the call, since a
     * read has no effect; a reply with another error of the platform keeps its kind.
     */
    <T> CompletionStage<T> read(
            String path, Map<String, String> query, Function<HttpReply, T> decode) {
        return send(HttpMethod.GET, path, query, NO_BODY, decode, ErrorKind.STORE_UNAVAILABLE);
    }

    /**
     * Changes something on the platform. Fails with STORE_UNAVAILABLE if nothing can have taken
     * effect, and with STORE_OUTCOME_UNKNOWN if the answer was lost or makes no sense.
     */
    <T> CompletionStage<T> write(
            HttpMethod method, String path, Object message, Function<HttpReply, T> decode) {
        return send(
                method,
                path,
                Map.of(),
                Json.writeBytes(message),
                decode,
                ErrorKind.STORE_OUTCOME_UNKNOWN);
    }

    /** As the other write, with a query and bytes as they are. */
    <T> CompletionStage<T> write(
            HttpMethod method,
            String path,
            Map<String, String> query,
            byte[] body,
            Function<HttpReply, T> decode) {
        return send(method, path, query, body, decode, ErrorKind.STORE_OUTCOME_UNKNOWN);
    }

    /** Whether the platform answered that the thing asked for does not exist. */
    static boolean isAbsent(HttpReply reply) {
        return reply.status() == NOT_FOUND;
    }

    private <T> CompletionStage<T> send(
            HttpMethod method,
            String path,
            Map<String, String> query,
            byte[] body,
            Function<HttpReply, T> decode,
            ErrorKind whenLost) {
        Map<String, List<String>> parameters =
                query.entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> List.of(e.getValue())));
        return queue.send(new HttpCall(method, path, parameters, headers, body))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw lost(path, failure, whenLost);
                            }
                            if (reply.status() >= 300 && !isAbsentRead(method, reply)) {
                                throw refused(path, reply, whenLost);
                            }
                            return decoded(path, reply, decode, whenLost);
                        });
    }

    private static boolean isAbsentRead(HttpMethod method, HttpReply reply) {
        return method.equals(HttpMethod.GET) && isAbsent(reply);
    }

    private static <T> T decoded(
            String path, HttpReply reply, Function<HttpReply, T> decode, ErrorKind whenLost) {
        try {
            return decode.apply(reply);
        } catch (QuetzalscaleException e) {
            throw new QuetzalscaleException(
                    whenLost,
                    "the platform's answer to " + path + " can not be read: " + e.getMessage(),
                    e);
        }
    }

    private static QuetzalscaleException lost(String path, Throwable failure, ErrorKind whenLost) {
        Throwable cause =
                failure instanceof CompletionException wrapped ? wrapped.getCause() : failure;
        boolean sent = !(cause instanceof HttpCallException call) || call.maybeSent();
        return new QuetzalscaleException(
                sent ? whenLost : ErrorKind.STORE_UNAVAILABLE,
                "no answer of the platform to " + path + ": " + cause.getMessage(),
                cause);
    }

    private static QuetzalscaleException refused(String path, HttpReply reply, ErrorKind whenLost) {
        ErrorKind kind = kindOf(reply);
        boolean storeFailed = reply.status() >= 500 && kind != ErrorKind.STORE_UNAVAILABLE;
        return new QuetzalscaleException(
                storeFailed ? whenLost : kind,
                "the platform answered " + path + " with " + reply.status() + messageOf(reply));
    }

    /** The kind that the answer names; one that it does not name is taken as a faulty request. */
    private static ErrorKind kindOf(HttpReply reply) {
        String code = errorOf(reply).path("code").asText("").toUpperCase(Locale.ROOT);
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.name().equals(code)) {
                return kind;
            }
        }
        return ErrorKind.MALFORMED_REQUEST;
    }

    private static String messageOf(HttpReply reply) {
        String message = errorOf(reply).path("message").asText("");
        return message.isEmpty() ? "" : ": " + message;
    }

    private static JsonNode errorOf(HttpReply reply) {
        try {
            return Json.readTree(reply.body()).path("error");
        } catch (QuetzalscaleException e) {
            return MissingNode.getInstance();
        }
    }
}
