package org.quetzalscale.core.table;

import java.util.List;

/**
 * Changed rows in commit order.
 *
 * @param version the version after which the next read of the feed continues
 */
public record Changes(List<ChangedRow> rows, long version) {
    /** Copies the list. */
    public Changes {
        rows = List.copyOf(rows);
    }
}
