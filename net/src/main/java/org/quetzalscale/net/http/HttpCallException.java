package org.quetzalscale.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A request that got no response, or a stream request that got an error response. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;
    private final transient HttpReply answer;

    private HttpCallException(
            String message, boolean maybeSent, Throwable cause, HttpReply answer) {
        super(message, cause);
        this.maybeSent = maybeSent;
        this.answer = answer;
    }

    /** A request of which no byte was sent. */
    public static HttpCallException notSent(Throwable cause) {
        return new HttpCallException("no connection: " + cause, false, cause, null);
    }

    /** A request that may have reached the server. */
    public static HttpCallException maybeSent(String message) {
        return new HttpCallException(message, true, null, null);
    }

    /** A stream request that the server answered with an error response. */
    public static HttpCallException answered(HttpReply answer) {
        return new HttpCallException(
                "status "
                        + answer.status()
                        + ": "
                        + new String(answer.body(), StandardCharsets.UTF_8),
                true,
                null,
                answer);
    }

    /** The server's error response, if there is one. */
    public Optional<HttpReply> answer() {
        return Optional.ofNullable(answer);
    }

    /** Whether a byte of the request may have reached the server. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
