package org.quetzalscale.core.route;

import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * The latest load report of a sibling.
 *
 * @param receivedMillis monotonic time at which the report arrived, in milliseconds
 * @param inFlight the sibling's requests in flight by worker
 * @param demand the sibling's requests in flight and waiting by pool
 */
record SiblingReport(
        long receivedMillis, Map<WorkerId, Integer> inFlight, Map<PoolId, Integer> demand) {
    /** Copies the counts. */
    SiblingReport {
        inFlight = Map.copyOf(inFlight);
        demand = Map.copyOf(demand);
    }
}
