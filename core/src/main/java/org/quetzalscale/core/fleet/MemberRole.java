package org.quetzalscale.core.fleet;

/** What a machine on the platform's list serves as. */
public enum MemberRole {
    /** An instance of quetzalscaled. */
    ENTRY,
    /** A worker, which runs a target. */
    WORKER
}
