package org.quetzalscale.core.lease;

import java.util.Objects;

/**
 * The row {@code lease/<name>}, which stores the holder of a lease.
 *
 * @param holder id of the instance that holds the lease, or empty after its release
 * @param renewals counter of renewals, acquisitions and releases, so that each of them changes the
 *     row
 */
public record LeaseRow(String holder, long renewals) {
    /** Rejects a null holder. */
    public LeaseRow {
        Objects.requireNonNull(holder, "holder");
    }
}
