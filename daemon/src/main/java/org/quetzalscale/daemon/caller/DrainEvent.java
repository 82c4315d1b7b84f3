package org.quetzalscale.daemon.caller;

/** Channel event that is sent to connections during a drain. */
enum DrainEvent {
    /** Close the connection unless a request is running or arriving on it. */
    CLOSE_IF_IDLE
}
