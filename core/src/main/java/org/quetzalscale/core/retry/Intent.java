package org.quetzalscale.core.retry;

import java.util.Objects;
import org.quetzalscale.core.table.RowKey;

/**
 * The right to run a request with an idempotency key once.
 *
 * @param row the intent's row
 * @param attempt identifier of the attempt that inserted the row
 */
public record Intent(RowKey row, String attempt) {
    /** Requires both parts. */
    public Intent {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(attempt, "attempt");
    }
}
