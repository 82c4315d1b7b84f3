package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * An accepted write.
 *
 * @param revision the revision that it made
 * @param inForce whether every live instance is known to have it
 * @param pending instances that are not known to have it
 */
public record Written(long revision, boolean inForce, List<String> pending) {
    /** Copies the list. */
    public Written {
        pending = List.copyOf(pending);
    }

    /** A write that was found in effect after its answer was lost. */
    static Written readBack(long revision) {
        return new Written(revision, false, List.of());
    }

    /** The write that the server's answer tells of. */
    static Written of(JsonNode body) {
        long revision =
                body.hasNonNull("revision")
                        ? body.path("revision").asLong()
                        : body.path("resourceVersion").asLong();
        List<String> pending = new ArrayList<>();
        body.path("pending").forEach(instance -> pending.add(instance.asText()));
        return new Written(revision, body.path("inForce").asBoolean(), pending);
    }
}
