package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;

/**
 * Request to cancel a job.
 *
 * @param team the requesting team, which can cancel only its own jobs
 */
public record Cancellation(TeamId team, JobId job) {
    /** Rejects null components. */
    public Cancellation {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(job, "job");
    }
}
