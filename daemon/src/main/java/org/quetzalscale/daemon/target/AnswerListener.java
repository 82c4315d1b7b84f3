package org.quetzalscale.daemon.target;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. All calls come on the connection's event loop. */
public interface AnswerListener {
    /** The head of the final answer; its body's end can be recognised. */
    void head(HttpResponse head);

    /**
     * A part of the body, which the listener releases. A {@link
     * io.netty.handler.codec.http.LastHttpContent} ends the answer.
     */
    void content(HttpContent content);

    /** The connection broke, or the answer is malformed; the connection is closed. */
    void broken(String reason);

    /** The connection takes more bytes of the request. */
    void writable();
}
