package org.quetzalscale.core.config;

import java.util.Objects;

/**
 * A change as its row keeps it.
 *
 * @param writerId identifies the write that made the change, so that a writer whose commit's answer
 *     was lost can tell its own change from another one
 */
public record ChangeRecord(Change change, String writerId) {
    /** Requires both parts. */
    public ChangeRecord {
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(writerId, "writerId");
    }
}
