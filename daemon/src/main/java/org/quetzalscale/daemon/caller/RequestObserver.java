package org.quetzalscale.daemon.caller;

/** Hears of each request that ended. Called on event loops, so it must not block. */
@FunctionalInterface
public interface RequestObserver {
    /** A request ended. */
    void ended(RequestRecord request);
}
