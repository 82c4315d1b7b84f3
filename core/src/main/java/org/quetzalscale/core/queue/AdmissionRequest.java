package org.quetzalscale.core.queue;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;

/**
 * A request that asks for a worker.
 *
 * @param team the team whose key came with it, or empty on an open queue
 * @param urgent whether it goes ahead of the team's other requests
 * @param deadlineMillis monotonic time by which its answer must have ended
 */
public record AdmissionRequest(
        QueueId queue, Optional<TeamId> team, boolean urgent, long deadlineMillis) {
    /** Requires queue and team. */
    public AdmissionRequest {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(team, "team");
    }
}
