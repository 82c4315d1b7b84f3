package org.quetzalscale.core.fleet;

/** Role of a machine on the platform's list. */
public enum MemberRole {
    /** An instance of quetzalscaled. */
    ENTRY,
    /** A worker, which runs a target. */
    WORKER
}
