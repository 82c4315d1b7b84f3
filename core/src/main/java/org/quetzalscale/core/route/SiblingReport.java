package org.quetzalscale.core.route;

import java.util.Map;
import org.quetzalscale.core.id.WorkerId;

/**
 * What a sibling reported last.
 *
 * @param receivedMillis monotonic time of its arrival
 * @param inFlight the sibling's requests in flight by worker
 */
record SiblingReport(long receivedMillis, Map<WorkerId, Integer> inFlight) {
    /** Copies the counts. */
    SiblingReport {
        inFlight = Map.copyOf(inFlight);
    }
}
