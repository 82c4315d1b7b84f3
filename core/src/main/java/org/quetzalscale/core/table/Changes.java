package org.quetzalscale.core.table;

import java.util.List;

/**
 * Changed rows in the order of their commits.
 *
 * @param version the version to continue from
 */
public record Changes(List<ChangedRow> rows, long version) {
    /** Copies the list. */
    public Changes {
        rows = List.copyOf(rows);
    }
}
