package org.quetzalscale.core.instance;

/** What an instance does. */
public enum InstanceState {
    /** It runs its worker. */
    UP,
    /** It is on its way to another pool. */
    MOVING,
    /** It is being maintained. */
    MAINTENANCE,
    /** It does not run. */
    DOWN
}
