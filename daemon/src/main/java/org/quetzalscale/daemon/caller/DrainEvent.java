package org.quetzalscale.daemon.caller;

/** Tells a connection about the graceful stop. */
enum DrainEvent {
    /** The connection closes now unless a request runs on it or began to arrive. */
    CLOSE_IF_IDLE
}
