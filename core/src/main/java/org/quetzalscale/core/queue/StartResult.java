package org.quetzalscale.core.queue;

/** Result of an attempt to start a waiting request. */
enum StartResult {
    /** The request has a unit and a slot. */
    STARTED,
    /** The team has no free unit on this instance; requests of other teams may start. */
    NO_UNIT,
    /** No worker of the pool has a free slot. */
    NO_SLOT
}
