package org.quetzalscale.core.job;

import java.util.Objects;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;

/**
 * A submitter's request to end a job.
 *
 * @param team the team that asks; only its own jobs can be cancelled
 */
public record Cancellation(TeamId team, JobId job) {
    /** Requires both parts. */
    public Cancellation {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(job, "job");
    }
}
