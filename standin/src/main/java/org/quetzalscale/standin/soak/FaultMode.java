package org.quetzalscale.standin.soak;

/** How a service treats the calls that a fault concerns. */
enum FaultMode {
    /** Calls are not carried out, and their connections stay silent. */
    SILENT,
    /** Calls are not carried out and get status 503, which says so. */
    REFUSED,
    /** Connections are reset. */
    RESET,
    /** Calls are carried out after a delay, and answered. */
    SLOW,
    /** Calls are carried out at once, and their connections stay silent. */
    ANSWERS_LOST,
    /** Changes are carried out after a delay; their connections are silent at once. */
    CHANGES_LATE,
    /** Changes are never carried out, and their connections stay silent. */
    CHANGES_LOST,
    /** Reads show the state from the beginning of the fault. */
    STALE,
    /** Reads show the state of the fault's delay before. */
    OLD
}
