package org.quetzalscale.core.route;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;

/**
 * A slot of a worker that this instance uses for one request.
 *
 * @param address IP number and port of the worker's target
 */
public record WorkerSlot(WorkerId worker, String address) {
    /** Requires both parts. */
    public WorkerSlot {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(address, "address");
    }
}
