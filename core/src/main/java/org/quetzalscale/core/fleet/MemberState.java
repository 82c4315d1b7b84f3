package org.quetzalscale.core.fleet;

/** State of a machine on the platform's list. */
public enum MemberState {
    /** Runs. */
    LIVE,
    /** In graceful shutdown: finishes what it has and takes nothing new. */
    LEAVING,
    /** Terminated by the platform; it will not run again under this identifier. */
    GONE
}
