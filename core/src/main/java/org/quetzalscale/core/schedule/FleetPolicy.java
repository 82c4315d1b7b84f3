package org.quetzalscale.core.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobTerms;

/**
 * A version of the fleet configuration that operators maintain.
 *
 * @param version increases with each change, not always by one
 * @param keys the organisation that each API key belongs to
 */
public record FleetPolicy(
        long version,
        List<QueueRoute> routes,
        Map<QueueId, QueuePolicy> queues,
        Map<PoolId, PoolPolicy> pools,
        Map<OrganisationId, OrganisationPolicy> organisations,
        Map<String, OrganisationId> keys) {
    /** Copies the collections and sorts the routes by descending prefix length. */
    public FleetPolicy {
        routes =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (QueueRoute route) -> -route.prefix().length()))
                        .toList();
        queues = Map.copyOf(queues);
        pools = Map.copyOf(pools);
        organisations = Map.copyOf(organisations);
        keys = Map.copyOf(keys);
    }

    /** What this version declares for a job of the queue that it accepts. */
    public JobTerms terms(QueuePolicy queue, Optional<OrganisationId> organisation) {
        Optional<OrganisationPolicy> known = organisation.map(organisations::get);
        return new JobTerms(
                queue.priority(),
                queue.maxAttempts(),
                queue.stretch(),
                queue.targetMillis(),
                known.map(OrganisationPolicy::weight).orElse(1.0),
                known.map(OrganisationPolicy::rate).orElse(0.0),
                known.map(OrganisationPolicy::cap).orElse(Resources.NONE));
    }

    /**
     * The queue of an accepted job; as it was declared when the job was accepted if this version
     * does not have the queue. The attempts are those under which the job was accepted.
     */
    QueuePolicy queueOf(JobDefinition job) {
        QueuePolicy known = queues.get(job.queue());
        if (job.terms().isEmpty()) {
            return known == null ? undeclared(job) : known;
        }
        JobTerms terms = job.terms().get();
        if (known != null && known.maxAttempts() == terms.maxAttempts()) {
            return known;
        }
        return new QueuePolicy(
                job.queue(),
                job.pool(),
                known == null ? terms.priority() : known.priority(),
                terms.maxAttempts(),
                known == null ? terms.stretch() : known.stretch(),
                known == null ? terms.targetMillis() : known.targetMillis(),
                false);
    }

    /** The queue of a job that an earlier release accepted without its terms. */
    private static QueuePolicy undeclared(JobDefinition job) {
        return new QueuePolicy(
                job.queue(), job.pool(), 0, QueuePolicy.DEFAULT_MAX_ATTEMPTS, 1, 0, false);
    }

    /**
     * The organisation of an accepted job; as it was declared when the job was accepted if this
     * version does not have it. Empty if the job has none, or nothing is known of it.
     */
    Optional<OrganisationPolicy> organisationOf(JobDefinition job) {
        if (job.organisation().isEmpty()) {
            return Optional.empty();
        }
        OrganisationId id = job.organisation().get();
        return Optional.ofNullable(organisations.get(id))
                .or(
                        () ->
                                job.terms()
                                        .map(
                                                terms ->
                                                        new OrganisationPolicy(
                                                                id,
                                                                terms.weight(),
                                                                terms.rate(),
                                                                terms.cap())));
    }

    /** Returns the route of the host with the longest prefix that matches the path. */
    public Optional<QueueRoute> route(String host, String path) {
        for (QueueRoute route : routes) {
            if (route.host().equals(host) && path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
