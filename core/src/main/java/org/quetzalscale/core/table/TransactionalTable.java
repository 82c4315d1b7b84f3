package org.quetzalscale.core.table;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table: a key-value store with conditional multi-row commits.
 *
 * <p>Stages fail with a {@link org.quetzalscale.core.error.QuetzalscaleException} of kind
 * STORE_UNAVAILABLE if nothing took effect, STORE_REJECTED if nothing took effect and no repetition
 * will, or STORE_OUTCOME_UNKNOWN if the response to a commit was lost. In the last case the caller
 * must read the rows before it retries, because the commit may have taken effect.
 */
public interface TransactionalTable {
    /** Reads one row as of the latest commit. */
    CompletionStage<Optional<Row>> read(RowKey key);

    /** Reads all rows whose key starts with the prefix, as of one commit, in key order. */
    CompletionStage<List<Row>> scan(String prefix);

    /** Applies all mutations if all conditions hold, else none. */
    CompletionStage<CommitResult> commit(Transaction transaction);

    /** What the table takes at most. */
    default TableLimits limits() {
        return TableLimits.DEFAULT;
    }
}
