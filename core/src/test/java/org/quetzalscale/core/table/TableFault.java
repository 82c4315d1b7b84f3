package org.quetzalscale.core.table;

/** What happens to one call to a {@link FaultyTable}. */
public enum TableFault {
    /** Nothing goes wrong. */
    NONE,
    /** The call is refused with STORE_UNAVAILABLE; nothing takes effect. */
    DOWN,
    /** A commit takes effect and ends with STORE_OUTCOME_UNKNOWN; a read is unavailable. */
    LOSE_ANSWER,
    /** A commit has no effect and ends with STORE_OUTCOME_UNKNOWN; a read is unavailable. */
    LOSE_REQUEST
}
