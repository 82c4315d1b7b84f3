package org.quetzalscale.core.table;

import java.util.concurrent.CompletionStage;

/** A transactional table with a change feed. */
public interface FeedTable extends TransactionalTable, ChangeFeed {
    /**
     * Reads all rows whose key starts with the prefix, with the version from which the change feed
     * continues.
     */
    CompletionStage<RowSnapshot> snapshot(String prefix);
}
