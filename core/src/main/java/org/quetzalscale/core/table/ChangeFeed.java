package org.quetzalscale.core.table;

import java.util.concurrent.CompletionStage;

/** The changes of the platform's tables, in the order of their commits. */
@FunctionalInterface
public interface ChangeFeed {
    /**
     * The rows that changed after a version.
     *
     * <p>The stage fails with a {@link org.quetzalscale.core.error.QuetzalscaleException} of kind
     * REVISION_TOO_OLD if the history since the version is gone, STORE_UNAVAILABLE or
     * STORE_OUTCOME_UNKNOWN if there is no answer.
     *
     * @param table first segment of the rows' keys
     * @param waitMillis how long to wait for a change; without one the answer is empty
     */
    CompletionStage<Changes> changesAfter(String table, long version, int waitMillis);
}
