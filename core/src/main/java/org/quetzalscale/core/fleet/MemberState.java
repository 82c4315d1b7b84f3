package org.quetzalscale.core.fleet;

/** State of a machine on the platform's list. */
public enum MemberState {
    /** In service. */
    LIVE,
    /** In graceful shutdown: finishes the work in progress and accepts no new work. */
    LEAVING,
    /** Terminated by the platform; it never runs again under this identifier. */
    GONE
}
