package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;

/**
 * What the configuration says of an organisation.
 *
 * @param weight its share when all is full
 * @param cap most that it may have running over all pools; a part of 0 is no limit
 */
public record OrganisationPolicy(OrganisationId id, double weight, Resources cap) {
    /** Requires all parts. */
    public OrganisationPolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(cap, "cap");
    }

    /** Whether the organisation may have this much running. */
    public boolean permits(Resources total) {
        return within(total.cores(), cap.cores())
                && within(total.memoryMib(), cap.memoryMib())
                && within(total.accelerators(), cap.accelerators());
    }

    private static boolean within(double total, double limit) {
        return limit <= 0 || total <= limit;
    }
}
