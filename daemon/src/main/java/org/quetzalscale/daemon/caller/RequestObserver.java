package org.quetzalscale.daemon.caller;

/** Is notified of each request that ended. Called on event loops, so it must not block. */
@FunctionalInterface
public interface RequestObserver {
    /** Called once for each request when it ends. */
    void ended(RequestRecord request);
}
