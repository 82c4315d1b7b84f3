package org.quetzalscale.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A call without an answer, or a stream whose request was answered with an error. */
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

    /** A call of which no byte left. */
    public static HttpCallException notSent(Throwable cause) {
        return new HttpCallException("no connection: " + cause, false, cause, null);
    }

    /** A call that may have reached the server. */
    public static HttpCallException maybeSent(String message) {
        return new HttpCallException(message, true, null, null);
    }

    /** A stream that the server refused with an error answer. */
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

    /** The server's answer, if there is one. */
    public Optional<HttpReply> answer() {
        return Optional.ofNullable(answer);
    }

    /** Whether a byte of the call may have reached the server. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
