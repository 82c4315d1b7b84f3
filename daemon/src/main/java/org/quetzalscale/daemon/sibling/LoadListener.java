package org.quetzalscale.daemon.sibling;

import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.route.InstanceLoad;

/** Takes what other instances have running. Called on event loops; must not block. */
@FunctionalInterface
public interface LoadListener {
    /**
     * Takes a report, which replaces the instance's former one.
     *
     * @param load what the instance has running and waiting
     */
    void report(InstanceId sibling, InstanceLoad load);
}
