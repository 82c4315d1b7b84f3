package org.quetzalscale.core.resource;

/** Phase of a worker between service and maintenance. */
public enum WorkerPhase {
    /** Takes work of its pool. */
    ACTIVE,
    /** Takes no new work and finishes what it has. */
    DRAINING,
    /** Runs nothing. */
    DRAINED,
    /** Is rebooted or replaced by the platform. */
    REBOOTING,
    /** Failed; counts as not available. */
    FAILED
}
