package org.quetzalscale.core.lease;

import java.util.Objects;

/**
 * The row {@code lease/<name>}.
 *
 * @param holder id of the instance that holds the lease, or empty after it was given back
 * @param renewals counts renewals, so that each changes the row
 */
public record LeaseRow(String holder, long renewals) {
    /** Requires the holder, which may be empty. */
    public LeaseRow {
        Objects.requireNonNull(holder, "holder");
    }
}
