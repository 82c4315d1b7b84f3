package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;

/** What each organisation has running, and may have running besides. */
final class UsageLedger {
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

    /** Whether the organisation stays within its cap with this much more. */
    boolean permits(FleetPolicy policy, Optional<OrganisationId> organisation, Resources more) {
        if (organisation.isEmpty()) {
            return true;
        }
        OrganisationPolicy limits = policy.organisations().get(organisation.get());
        return limits == null || limits.permits(used(organisation.get()).plus(more));
    }
}
