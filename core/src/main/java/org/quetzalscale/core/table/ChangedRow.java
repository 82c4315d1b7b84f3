package org.quetzalscale.core.table;

import java.util.Objects;
import java.util.Optional;

/**
 * A row that was written or deleted.
 *
 * @param version the table version of the commit that changed the row
 * @param value the new text, or empty if the row was deleted
 */
public record ChangedRow(RowKey key, long version, Optional<String> value) {
    /** Requires key and value. */
    public ChangedRow {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
