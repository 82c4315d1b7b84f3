package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;

/**
 * The row {@code job-worker/<worker>}: a quarantined worker, which gets no jobs until an operator
 * lifts the quarantine. Components are stored by name.
 *
 * @param reason operator-readable reason for the quarantine
 */
public record WorkerFault(WorkerId worker, String reason) {
    /** Prefix of the row keys of quarantined workers. */
    public static final String PREFIX = "job-worker/";

    /** Rejects null components. */
    public WorkerFault {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(reason, "reason");
    }
}
