package org.quetzalscale.net.http;

import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.json.Json;

/**
 * An HTTP response with a body held in memory, or the start of a stream of lines.
 *
 * @param headers header values by name, without Content-Type and Content-Length
 * @param stream called with the sink of a streamed body, or null if the response has {@code body}
 */
public record HttpReply(
        int status,
        String contentType,
        Map<String, String> headers,
        byte[] body,
        Consumer<LineSink> stream) {
    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};

    /** Copies the headers; only {@code stream} may be null. */
    public HttpReply {
        Objects.requireNonNull(contentType, "contentType");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Creates a response with a value as JSON. */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(status, JSON, Map.of(), Json.writeBytes(value), null);
    }

    /** Creates a response with a body of the given content type. */
    public static HttpReply text(int status, String contentType, byte[] body) {
        return new HttpReply(status, contentType, Map.of(), body, null);
    }

    /** Creates a response whose lines are sent as they are produced, with status 200. */
    public static HttpReply lines(Consumer<LineSink> stream) {
        return new HttpReply(200, "application/x-ndjson", Map.of(), NO_BODY, stream);
    }

    /** Creates an error response with the status and run state of the error kind. */
    public static HttpReply error(QuetzalscaleException e, String requestId) {
        return new HttpReply(
                e.kind().httpStatus(),
                JSON,
                Map.of("Quetzalscale-Run", e.kind().runState().code()),
                Json.writeBytes(ErrorBody.of(e, requestId)),
                null);
    }
}
