package org.quetzalscale.daemon.sibling;

import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.route.InstanceLoad;

/** Receives the load of other instances. Called on event loops; must not block. */
@FunctionalInterface
public interface LoadListener {
    /**
     * Receives a report, which replaces the instance's previous one.
     *
     * @param load the instance's running and waiting requests
     */
    void report(InstanceId sibling, InstanceLoad load);
}
