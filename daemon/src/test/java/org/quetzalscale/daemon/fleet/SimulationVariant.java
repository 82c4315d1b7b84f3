package org.quetzalscale.daemon.fleet;

/** What a simulation contains besides short jobs and faults. */
enum SimulationVariant {
    PLAIN,
    /**
     * A lasting step, and a wave over all instances; each maintained worker is replaced by a new
     * one.
     */
    MAINTENANCE,
    /** As {@link #MAINTENANCE}, but workers return from maintenance under their previous ids. */
    SAME_WORKERS,
    /**
     * A lasting step, and workers in three zones, which operators evacuate and restore one after
     * the other; the last one is not restored.
     */
    EVACUATION
}
