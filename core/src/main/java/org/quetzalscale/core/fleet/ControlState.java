package org.quetzalscale.core.fleet;

/** State of a reboot or replacement of a worker. */
public enum ControlState {
    /** Started and not ended yet. */
    RUNNING,
    /** Ended; the worker can serve. */
    DONE,
    /** Ended; the worker cannot serve. */
    FAILED
}
