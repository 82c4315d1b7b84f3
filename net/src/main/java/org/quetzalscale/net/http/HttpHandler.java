package org.quetzalscale.net.http;

import java.util.concurrent.CompletionStage;

/** Handles HTTP requests. A failed stage or a thrown exception becomes an error response. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one request; runs on the connection's event loop and must not block. */
    CompletionStage<HttpReply> handle(HttpCall call);
}
