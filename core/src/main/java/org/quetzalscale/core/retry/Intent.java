package org.quetzalscale.core.retry;

import java.util.Objects;
import org.quetzalscale.core.table.RowKey;

/**
 * Permission to run a request with an idempotency key once.
 *
 * @param row key of the intent's row
 * @param attempt identifier of the attempt that inserted the row
 */
public record Intent(RowKey row, String attempt) {
    /** Rejects null components. */
    public Intent {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(attempt, "attempt");
    }
}
