package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of an attempt. All methods are called on the request's event loop. */
interface AttemptListener {
    /** The target refused the request without running any part of it; the connection is closed. */
    void refused();

    /**
     * The head of the target's answer arrived.
     *
     * @return whether the answer is accepted; if not, the attempt closes its connection
     */
    boolean answered(HttpResponse head);

    /** A part of the answer's body, which the listener must release; the last ends the attempt. */
    void answerPart(HttpContent part);

    /** The connection failed or timed out before the answer was complete. */
    void broken(String reason);
}
