package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.JobDefinition;

/** Resources that the running tasks of each organisation use, checked against its cap. */
final class OrganisationUsage {
    private final Map<OrganisationId, Resources> used = new HashMap<>();

    void add(Optional<OrganisationId> organisation, Resources amount) {
        organisation.ifPresent(id -> used.merge(id, amount, Resources::plus));
    }

    void remove(Optional<OrganisationId> organisation, Resources amount) {
        organisation.ifPresent(id -> used.merge(id, amount, (all, part) -> all.minus(part)));
    }

    Resources used(OrganisationId organisation) {
        return used.getOrDefault(organisation, Resources.NONE);
    }

    /**
     * Whether the organisation of the job stays within its cap if it uses the given resources in
     * addition.
     */
    boolean permits(FleetPolicy policy, JobDefinition job, Resources more) {
        return policy.organisationOf(job)
                .map(limits -> limits.permits(used(limits.id()).plus(more)))
                .orElse(true);
    }
}
