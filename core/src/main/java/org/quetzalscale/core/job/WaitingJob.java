package org.quetzalscale.core.job;

import java.util.Comparator;
import java.util.Objects;
import java.util.Set;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * A queued job that is ready to start.
 *
 * @param need estimated usage
 * @param avoid workers on which the job has failed
 */
public record WaitingJob(StoredJob stored, Resources need, Set<WorkerId> avoid) {
    /** Order of a team's jobs: urgency, priority, deadline, age. */
    public static final Comparator<WaitingJob> ORDER =
            Comparator.comparing((WaitingJob waiting) -> !waiting.spec().urgent())
                    .thenComparing(waiting -> -waiting.spec().priority())
                    .thenComparing(WaitingJob::deadlineAtMillis)
                    .thenComparing(waiting -> waiting.job().submittedAtMillis())
                    .thenComparing(waiting -> waiting.job().id());

    /** Copies the workers to avoid. */
    public WaitingJob {
        Objects.requireNonNull(stored, "stored");
        Objects.requireNonNull(need, "need");
        avoid = Set.copyOf(avoid);
    }

    /** The job's row. */
    public JobRow job() {
        return stored.job();
    }

    /** The submitted specification. */
    public JobSpec spec() {
        return stored.job().spec();
    }

    /** The job's team. */
    public TeamId team() {
        return spec().team();
    }

    /** Wall-clock time by which the job should end, in milliseconds; the maximum if it has none. */
    public long deadlineAtMillis() {
        return spec().deadlineMillis() == 0
                ? Long.MAX_VALUE
                : job().submittedAtMillis() + spec().deadlineMillis();
    }
}
