package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Hears how an attempt at a target goes on. All calls come on the request's event loop. */
interface AttemptListener {
    /** The target refused the request before running any of it; the connection is closed. */
    void refused();

    /**
     * The head of the target's answer.
     *
     * @return whether the answer is taken; if not, the attempt closes its connection
     */
    boolean answered(HttpResponse head);

    /** A part of the answer's body, which the listener releases; the last one ends the attempt. */
    void answerPart(HttpContent part);

    /** The connection broke, or was silent for too long, before the answer was whole. */
    void broken(String reason);
}
