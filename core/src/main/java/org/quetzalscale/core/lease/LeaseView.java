package org.quetzalscale.core.lease;

import java.util.Objects;
import org.quetzalscale.core.id.InstanceId;

/**
 * What an instance knows of a lease.
 *
 * @param tableResponds whether the table responded to the instance's last call
 * @param holder the holder that the instance has read last; empty if it has read none
 * @param renewals the counter in the row that was read last
 */
public record LeaseView(boolean tableResponds, String holder, long renewals) {
    /** Rejects a null holder. */
    public LeaseView {
        Objects.requireNonNull(holder, "holder");
    }

    /**
     * Whether the instance has seen that another one acquired the lease after an acquisition.
     *
     * @param self holder of that acquisition
     * @param generation the counter that the acquisition wrote
     */
    public boolean showsLaterHolder(InstanceId self, long generation) {
        return renewals > generation && !holder.isEmpty() && !holder.equals(self.value());
    }

    /**
     * Whether neither the instance has taken the lease, nor could take it when it answered. An
     * instance that has not read the lease may have taken it before its restart.
     */
    boolean excludesTakeover(InstanceId self, long generation) {
        return !tableResponds && hasReadLease() && !showsLaterHolder(self, generation);
    }

    private boolean hasReadLease() {
        return !holder.isEmpty() || renewals > 0;
    }
}
