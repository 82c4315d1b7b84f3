package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * A job as it was accepted.
 *
 * @param pool the pool that the queue named when the job was accepted
 * @param organisation whose key came with the job; empty on a queue that is open to all
 * @param acceptedEpochMillis Unix milliseconds of the accepting process
 * @param spec text that is passed to the workers
 */
public record JobDefinition(
        JobId id,
        QueueId queue,
        PoolId pool,
        Optional<OrganisationId> organisation,
        long acceptedEpochMillis,
        String spec,
        List<StepDefinition> steps,
        Recurrence recurrence) {
    /** Copies the list. */
    public JobDefinition {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(spec, "spec");
        steps = List.copyOf(steps);
        Objects.requireNonNull(recurrence, "recurrence");
    }
}
