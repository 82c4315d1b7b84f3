package org.quetzalscale.net.http;

/** A call without an answer. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    private HttpCallException(String message, boolean maybeSent, Throwable cause) {
        super(message, cause);
        this.maybeSent = maybeSent;
    }

    /** A call of which no byte left. */
    public static HttpCallException notSent(Throwable cause) {
        return new HttpCallException("no connection: " + cause, false, cause);
    }

    /** A call that may have reached the server. */
    public static HttpCallException maybeSent(String message) {
        return new HttpCallException(message, true, null);
    }

    /** Whether a byte of the call may have reached the server. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
