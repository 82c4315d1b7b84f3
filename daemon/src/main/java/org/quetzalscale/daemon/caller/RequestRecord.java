package org.quetzalscale.daemon.caller;

import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;

/**
 * The result of a request of a caller, for metrics.
 *
 * @param team team of the verified key; empty if the request has none or its head was rejected
 * @param error the error in the answer, if any
 * @param status HTTP status of the answer; 0 if the caller disconnected before one
 * @param cut whether the answer began but did not reach the caller completely
 * @param waitMillis time from arrival to admission, or to the end of a request not admitted
 * @param totalMillis time from arrival to the end of the request
 */
public record RequestRecord(
        Optional<TeamId> team,
        Optional<QueueId> queue,
        Optional<ErrorKind> error,
        int status,
        boolean cut,
        long waitMillis,
        long totalMillis) {
    /** Requires that no optional component is null. */
    public RequestRecord {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(error, "error");
    }
}
