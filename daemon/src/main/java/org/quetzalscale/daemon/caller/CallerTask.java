package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpContent;

/** What a connection does with one request. All methods run on the connection's event loop. */
interface CallerTask {
    /** Begins; the connection delivers the body as it is asked for. */
    void start();

    /** A part of the body, which is taken over. */
    void body(HttpContent part);

    /** The rest of the body can not be decoded. */
    void bodyMalformed(String reason);

    /** The caller takes more bytes of the answer. */
    void callerWritable();

    /** The caller closed its connection. */
    void callerGone();
}
