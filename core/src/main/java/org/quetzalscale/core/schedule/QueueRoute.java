package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.QueueId;

/**
 * Maps requests to a queue by host and path prefix.
 *
 * @param host host name of the request
 * @param prefix prefix of the request path; the longest match wins
 */
public record QueueRoute(String host, String prefix, QueueId queue) {
    /** Rejects null components. */
    public QueueRoute {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(queue, "queue");
    }
}
