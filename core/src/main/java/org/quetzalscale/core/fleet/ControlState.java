package org.quetzalscale.core.fleet;

/** How an operation of the platform on a worker goes. */
public enum ControlState {
    /** Has started and has not ended. */
    RUNNING,
    /** Ended; the worker is able to serve. */
    DONE,
    /** Ended; the worker is not able to serve. */
    FAILED
}
