package org.quetzalscale.core.route;

import java.util.Map;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;

/**
 * What a sibling reported last.
 *
 * @param receivedMillis monotonic time of its arrival
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
