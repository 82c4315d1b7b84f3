package org.quetzalscale.core.queue;

/** What came of the attempt to start a waiting request. */
enum StartResult {
    /** It has a unit and a slot. */
    STARTED,
    /** Its team has no unit here; other teams may start. */
    NO_UNIT,
    /** No worker of the pool has a free slot. */
    NO_SLOT
}
