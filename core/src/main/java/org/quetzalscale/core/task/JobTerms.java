package org.quetzalscale.core.task;

import java.util.Objects;
import org.quetzalscale.core.share.Resources;

/**
 * What the configuration declared for a job when it was accepted. Later versions may no longer have
 * its queue or its organisation.
 *
 * @param priority rank of the queue; 0 is scheduled first
 * @param maxAttempts number of failed runs of a task after which the job fails
 * @param stretch factor of the job's critical path in its latency objective
 * @param targetMillis constant part of the latency objective, added to that
 * @param weight relative share of the organisation; 1 without an organisation
 * @param rate number of jobs per second that the organisation declared; 0 if none
 * @param cap maximum resources of the organisation's running tasks; 0 means no limit
 */
public record JobTerms(
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        double weight,
        double rate,
        Resources cap) {
    /** Rejects a null cap. */
    public JobTerms {
        Objects.requireNonNull(cap, "cap");
    }
}
