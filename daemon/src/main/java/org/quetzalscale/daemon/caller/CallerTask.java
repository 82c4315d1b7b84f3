package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpContent;

/** Processes one request of a connection. All methods run on the connection's event loop. */
interface CallerTask {
    /** Starts the task; the connection delivers body parts only on request. */
    void start();

    /** A part of the body arrived; the task takes ownership of it. */
    void body(HttpContent part);

    /** The rest of the body cannot be decoded. */
    void bodyMalformed(String reason);

    /** The connection to the caller is writable again. */
    void callerWritable();

    /** The caller closed its connection. */
    void callerDisconnected();
}
