package org.quetzalscale.core.route;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;

/**
 * A worker slot that this instance reserved for one request.
 *
 * @param address IP address and port of the worker's target
 */
public record WorkerSlot(WorkerId worker, String address) {
    /** Rejects null components. */
    public WorkerSlot {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(address, "address");
    }
}
