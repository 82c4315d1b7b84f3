package org.quetzalscale.core.resource;

/** What a maintenance wave does to each worker. */
public enum WaveAction {
    /** Drains and reboots the worker. */
    REBOOT,
    /** Drains the worker, has the platform replace it, and takes it back. */
    REPLACE
}
