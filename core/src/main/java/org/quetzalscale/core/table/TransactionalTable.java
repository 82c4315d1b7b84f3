package org.quetzalscale.core.table;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table.
 *
 * <p>All stages fail with a {@link org.quetzalscale.core.error.QuetzalscaleException} of kind
 * STORE_UNAVAILABLE if nothing took effect, or STORE_OUTCOME_UNKNOWN if a commit's answer was lost.
 * After the latter the caller reads the rows back; it does not repeat the commit blindly.
 */
public interface TransactionalTable {
    /** Reads one row as of the latest commit. */
    CompletionStage<Optional<Row>> read(RowKey key);

    /** Reads all rows whose key starts with the prefix, as of one commit, in key order. */
    CompletionStage<List<Row>> scan(String prefix);

    /** Applies all mutations if all conditions hold, else none. */
    CompletionStage<CommitResult> commit(Transaction transaction);
}
