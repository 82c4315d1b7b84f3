package org.quetzalscale.core.config;

import java.util.Objects;

/**
 * A change as stored in its row.
 *
 * @param writerId identifies the write that made the change, so that a writer that lost the
 *     response to its commit can tell its own change from another one
 */
public record ChangeRecord(Change change, String writerId) {
    /** Requires both parts. */
    public ChangeRecord {
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(writerId, "writerId");
    }
}
