package org.quetzalscale.core.table;

import java.util.concurrent.CompletionStage;

/** Change feed of the platform's tables, in commit order. */
@FunctionalInterface
public interface ChangeFeed {
    /**
     * Reads the rows that changed after a version.
     *
     * <p>The stage fails with a {@link org.quetzalscale.core.error.QuetzalscaleException} of kind
     * REVISION_TOO_OLD if the store no longer has the history since the version, or of kind
     * STORE_UNAVAILABLE or STORE_OUTCOME_UNKNOWN if the store does not respond.
     *
     * @param table first segment of the rows' keys
     * @param waitMillis how long to wait for a change; the result is empty if there is none
     */
    CompletionStage<Changes> changesAfter(String table, long version, int waitMillis);
}
