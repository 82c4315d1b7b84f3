package org.quetzalscale.daemon.target;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request. All methods are called on the connection's event loop. */
public interface AnswerListener {
    /** The head of the final answer arrived; the end of its body can be recognised. */
    void head(HttpResponse head);

    /**
     * A part of the body, which the listener must release. A {@link
     * io.netty.handler.codec.http.LastHttpContent} ends the answer.
     */
    void content(HttpContent content);

    /** The connection failed or the answer is malformed; the connection is closed. */
    void broken(String reason);

    /** The connection is writable again, so that more of the request can be sent. */
    void writable();
}
