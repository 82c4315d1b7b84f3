package org.quetzalscale.core.task;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * The definition of a job, fixed when the job is accepted.
 *
 * @param pool pool of the queue at the time the job was accepted
 * @param organisation owner of the API key that the job was submitted with; empty if the queue
 *     requires no key
 * @param acceptedEpochMillis when the job was accepted, in Unix milliseconds of the accepting
 *     process
 * @param spec text that is passed to the workers
 * @param terms what the configuration declared; empty for a job that an earlier release accepted
 */
public record JobDefinition(
        JobId id,
        QueueId queue,
        PoolId pool,
        Optional<OrganisationId> organisation,
        long acceptedEpochMillis,
        String spec,
        List<StepDefinition> steps,
        Recurrence recurrence,
        Optional<JobTerms> terms) {
    /** Rejects null components and copies the steps. */
    public JobDefinition {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(spec, "spec");
        steps = List.copyOf(steps);
        Objects.requireNonNull(recurrence, "recurrence");
        Objects.requireNonNull(terms, "terms");
    }

    /** A job without terms. */
    public JobDefinition(
            JobId id,
            QueueId queue,
            PoolId pool,
            Optional<OrganisationId> organisation,
            long acceptedEpochMillis,
            String spec,
            List<StepDefinition> steps,
            Recurrence recurrence) {
        this(
                id,
                queue,
                pool,
                organisation,
                acceptedEpochMillis,
                spec,
                steps,
                recurrence,
                Optional.empty());
    }

    /** This job with the terms under which it is accepted. */
    public JobDefinition withTerms(JobTerms accepted) {
        return new JobDefinition(
                id,
                queue,
                pool,
                organisation,
                acceptedEpochMillis,
                spec,
                steps,
                recurrence,
                Optional.of(accepted));
    }

    /** This job without its text for workers, which a job that has ended no longer needs. */
    public JobDefinition withoutSpec() {
        return new JobDefinition(
                id, queue, pool, organisation, acceptedEpochMillis, "", steps, recurrence, terms);
    }

    /** The number of tasks of one occurrence. */
    public long taskCount() {
        return steps.stream().mapToLong(StepDefinition::count).sum();
    }
}
