package org.quetzalscale.core.route;

import java.util.Objects;
import org.quetzalscale.core.id.WorkerId;

/**
 * A slot of a worker that this instance uses for one request.
 *
 * @param address IP number and port of the worker's target
 */
public record Place(WorkerId worker, String address) {
    /** Requires both parts. */
    public Place {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(address, "address");
    }
}
