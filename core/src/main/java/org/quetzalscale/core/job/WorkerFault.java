package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;

/**
 * The row {@code job-worker/<worker>}: a worker that gets no jobs until an operator clears it.
 *
 * @param reason why, in words for an operator
 */
public record WorkerFault(WorkerId worker, String reason) {
    /** Prefix of the rows of workers that are set aside. */
    public static final String PREFIX = "job-worker/";

    /** Requires both parts. */
    public WorkerFault {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(reason, "reason");
    }
}
