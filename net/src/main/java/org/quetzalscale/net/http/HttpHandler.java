package org.quetzalscale.net.http;

import java.util.concurrent.CompletionStage;

/** Answers calls. A failed stage or a thrown exception becomes an error answer. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers one call; runs on the connection's event loop and must not block. */
    CompletionStage<HttpReply> handle(HttpCall call);
}
