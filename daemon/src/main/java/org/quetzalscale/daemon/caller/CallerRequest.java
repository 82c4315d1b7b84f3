package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.resource.QueueSpec;

/**
 * A request whose head was checked.
 *
 * @param targetUri path and query that the target gets
 * @param key the key that came with it; empty on an open queue
 * @param contentLength bytes of the body; -1 if it comes in chunks
 * @param headers headers that the target gets, without those that describe the body
 * @param arrivalMillis monotonic time of the end of the head
 * @param deadlineMillis monotonic time by which the answer must have ended
 */
record CallerRequest(
        String id,
        HttpMethod method,
        QueueId queue,
        QueueSpec spec,
        String targetUri,
        Optional<VerifiedKey> key,
        Optional<String> idempotencyKey,
        boolean urgent,
        long contentLength,
        HttpHeaders headers,
        long arrivalMillis,
        long deadlineMillis) {
    Optional<TeamId> team() {
        return key.map(VerifiedKey::team);
    }

    boolean isKeyed() {
        return idempotencyKey.isPresent();
    }

    /** Whether running it twice has the effect of running it once. */
    boolean isIdempotent() {
        return spec.idempotentMethods().contains(method.name());
    }
}
