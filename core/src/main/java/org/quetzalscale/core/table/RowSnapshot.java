package org.quetzalscale.core.table;

import java.util.List;

/**
 * Rows as of one commit.
 *
 * @param version the table version of that commit, from which the change feed continues
 */
public record RowSnapshot(List<Row> rows, long version) {
    /** Copies the list. */
    public RowSnapshot {
        rows = List.copyOf(rows);
    }
}
