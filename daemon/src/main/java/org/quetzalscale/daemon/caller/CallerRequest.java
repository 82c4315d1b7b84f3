package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.resource.QueueSpec;

/**
 * A request with a validated head.
 *
 * @param targetUri path and query of the request to the target
 * @param key verified key of the caller; may be empty on an open queue
 * @param contentLength size of the body in bytes; -1 with chunked encoding
 * @param headers headers for the target, without those that frame the body
 * @param arrivalMillis monotonic time at which the head was complete, in milliseconds
 * @param deadlineMillis monotonic time by which the answer must be complete, in milliseconds
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

    /** Whether the queue declares the method idempotent, so that the request may be run again. */
    boolean isIdempotent() {
        return spec.idempotentMethods().contains(method.name());
    }
}
