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
 * @param labels labels of the worker: its kind of hardware, then its rack if known
 * @param rack label of the worker's rack; empty if unknown
 * @param startedEpochMillis start of the worker's incarnation in Unix milliseconds; 0 if unknown
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
    /** Rejects null components and copies the labels. */
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
