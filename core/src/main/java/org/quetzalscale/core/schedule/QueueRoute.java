package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.QueueId;

/**
 * Which requests belong to a queue.
 *
 * @param host the host that requests name
 * @param prefix what their path begins with; the longest one counts
 */
public record QueueRoute(String host, String prefix, QueueId queue) {
    /** Requires all parts. */
    public QueueRoute {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(queue, "queue");
    }
}
