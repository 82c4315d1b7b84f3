package org.quetzalscale.daemon.sibling;

import java.util.Map;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;

/** Takes what other instances have running. Called on event loops; must not block. */
@FunctionalInterface
public interface LoadListener {
    /**
     * Takes a report, which replaces the instance's former one.
     *
     * @param inFlight requests that the instance has running on each worker; a worker that is not
     *     in it has none
     */
    void report(InstanceId sibling, Map<WorkerId, Integer> inFlight);
}
