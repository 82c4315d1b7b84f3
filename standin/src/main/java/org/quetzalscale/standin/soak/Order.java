package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.json.Json;

/**
 * A call of a node at a worker.
 *
 * @param caller the node
 * @param late whether it is carried out after its answer was given up
 */
record Order(String caller, String path, JsonNode body, boolean late) {
    static Order of(String caller, HttpCall call, boolean late) {
        return new Order(caller, call.path(), Json.readTree(call.body()), late);
    }

    String task() {
        return body.path("task").asText();
    }

    long run() {
        return body.path("runId").asLong();
    }

    long fence() {
        return body.path("fence").asLong(0);
    }

    /** When the lease ends on the worker's clock; 0 if the call does not extend it. */
    long deadlineMillis() {
        return body.path("deadlineMs").asLong(0);
    }
}
