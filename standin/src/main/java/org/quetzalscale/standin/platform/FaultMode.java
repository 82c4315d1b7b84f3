package org.quetzalscale.standin.platform;

/** How a part of the platform fails. */
public enum FaultMode {
    /** Refuses the call; nothing takes effect. */
    DOWN,
    /** Answers late: the effect comes after half of the delay, the answer after all of it. */
    SLOW,
    /** The call takes effect and its answer never arrives. */
    LOSE_ANSWER,
    /** The call has no effect and no answer. */
    SILENT,
    /** The list of machines no longer changes. */
    FREEZE
}
