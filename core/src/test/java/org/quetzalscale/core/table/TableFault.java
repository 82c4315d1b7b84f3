package org.quetzalscale.core.table;

/** Fault that {@link FaultyTable} injects into one call. */
public enum TableFault {
    /** No fault. */
    NONE,
    /** The call fails with STORE_UNAVAILABLE and has no effect. */
    DOWN,
    /**
     * A commit takes effect but fails with STORE_OUTCOME_UNKNOWN; a read fails with
     * STORE_UNAVAILABLE.
     */
    LOSE_ANSWER,
    /**
     * A commit has no effect and fails with STORE_OUTCOME_UNKNOWN; a read fails with
     * STORE_UNAVAILABLE.
     */
    LOSE_REQUEST
}
