package org.quetzalscale.core.instance;

/** The state of an instance. */
public enum InstanceState {
    /** The instance is up and can run a worker. */
    UP,
    /** The instance is being moved to another pool. */
    MOVING,
    /** The instance is in maintenance. */
    MAINTENANCE,
    /** The instance is down. */
    DOWN
}
