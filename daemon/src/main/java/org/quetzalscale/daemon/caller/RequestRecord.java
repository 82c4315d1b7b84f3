package org.quetzalscale.daemon.caller;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;

/**
 * How a request of a caller ended, for metrics.
 *
 * @param team the team whose key came with it, if it got as far as the check of the key
 * @param error the error that the caller was answered with, if any
 * @param status status of the answer; 0 if the caller left before one
 * @param cut whether the answer began but did not reach the caller whole
 * @param waitMillis time from arrival to the assignment of a worker, or to the end without one
 * @param totalMillis time from arrival to the end
 */
public record RequestRecord(
        Optional<TeamId> team,
        Optional<QueueId> queue,
        Optional<ErrorKind> error,
        int status,
        boolean cut,
        long waitMillis,
        long totalMillis) {
    /** Requires all parts. */
    public RequestRecord {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(error, "error");
    }
}
