package org.quetzalscale.core.schedule;

import java.util.Objects;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.share.Resources;

/**
 * Configured share and cap of an organisation.
 *
 * @param weight relative share when the fleet is fully used
 * @param rate number of jobs per second that it declared; 0 if none is declared, so that no job of
 *     it is beyond the rate
 * @param cap maximum resources of its running tasks over all pools; 0 means no limit
 */
public record OrganisationPolicy(OrganisationId id, double weight, double rate, Resources cap) {
    /** Rejects null components. */
    public OrganisationPolicy {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(cap, "cap");
    }

    /** Whether the cap permits this total of running tasks. */
    public boolean permits(Resources total) {
        return within(total.cores(), cap.cores())
                && within(total.memoryMib(), cap.memoryMib())
                && within(total.accelerators(), cap.accelerators());
    }

    private static boolean within(double total, double limit) {
        return limit <= 0 || total <= limit;
    }
}
