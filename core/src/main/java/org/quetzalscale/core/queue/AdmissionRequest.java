package org.quetzalscale.core.queue;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;

/**
 * A request for admission to a queue.
 *
 * @param team the team that the caller's key belongs to, or empty on an open queue
 * @param urgent whether it is served before the team's other requests
 * @param deadlineMillis monotonic time by which the response must be complete, in milliseconds
 */
public record AdmissionRequest(
        QueueId queue, Optional<TeamId> team, boolean urgent, long deadlineMillis) {
    /** Rejects null components. */
    public AdmissionRequest {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(team, "team");
    }
}
