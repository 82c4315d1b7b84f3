package org.quetzalscale.core.table;

import java.util.concurrent.CompletionStage;

/** A transactional table whose changes can be followed. */
public interface FeedTable extends TransactionalTable, ChangeFeed {
    /** Reads all rows whose key starts with the prefix, with the version to follow them from. */
    CompletionStage<RowSnapshot> snapshot(String prefix);
}
