package org.quetzalscale.net.http;

import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.json.Json;

/**
 * An answer with a small body, or the start of a stream of lines.
 *
 * @param headers header values by name, without content type and length
 * @param stream called with the sink of a streamed body, or null for an answer with {@code body}
 */
public record HttpReply(
        int status,
        String contentType,
        Map<String, String> headers,
        byte[] body,
        Consumer<LineSink> stream) {
    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};

    /** Requires all parts but the stream. */
    public HttpReply {
        Objects.requireNonNull(contentType, "contentType");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** An answer with a value as JSON. */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(status, JSON, Map.of(), Json.writeBytes(value), null);
    }

    /** An answer with text of a content type. */
    public static HttpReply text(int status, String contentType, byte[] body) {
        return new HttpReply(status, contentType, Map.of(), body, null);
    }

    /** An answer whose lines are sent as they arise. */
    public static HttpReply lines(Consumer<LineSink> stream) {
        return new HttpReply(200, "application/x-ndjson", Map.of(), NO_BODY, stream);
    }

    /** The answer to an error, as the table of error kinds gives it. */
    public static HttpReply error(QuetzalscaleException e, String requestId) {
        return new HttpReply(
                e.kind().httpStatus(),
                JSON,
                Map.of("Quetzalscale-Run", e.kind().runState().code()),
                Json.writeBytes(ErrorBody.of(e, requestId)),
                null);
    }
}
