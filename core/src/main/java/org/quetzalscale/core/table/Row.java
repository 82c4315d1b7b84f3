package org.quetzalscale.core.table;

import java.util.Objects;

/**
 * A row of the platform's table.
 *
 * @param version the table version of the commit that last wrote the row; never used twice, not
 *     even after a delete
 * @param value the row's text, as a {@link RowCodec} wrote it
 */
public record Row(RowKey key, long version, String value) {
    /** Requires key and value. */
    public Row {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
