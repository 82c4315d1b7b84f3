package org.quetzalscale.core.task;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.share.Resources;

/**
 * A worker as the platform lists it.
 *
 * @param kind the label of the worker's hardware
 * @param rack the label of its rack; empty if unknown
 * @param startedEpochMillis start of the incarnation, Unix milliseconds; 0 if not told
 */
public record WorkerEntry(
        WorkerId id,
        PoolId pool,
        ZoneId zone,
        InetSocketAddress address,
        Resources capacity,
        List<String> labels,
        String rack,
        boolean draining,
        long coldRemainingMillis,
        long startedEpochMillis) {
    /** Copies the labels. */
    public WorkerEntry {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
        Objects.requireNonNull(rack, "rack");
    }
}
