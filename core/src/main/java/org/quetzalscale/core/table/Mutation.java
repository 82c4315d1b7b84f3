package org.quetzalscale.core.table;

import java.util.Objects;
import java.util.Optional;

/**
 * A change to one row.
 *
 * @param value the new text, or empty to delete the row
 */
public record Mutation(RowKey key, Optional<String> value) {
    /** Requires key and value. */
    public Mutation {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Writes the row, whether or not it exists. */
    public static Mutation put(RowKey key, String value) {
        return new Mutation(key, Optional.of(value));
    }

    /** Deletes the row, if it exists. */
    public static Mutation delete(RowKey key) {
        return new Mutation(key, Optional.empty());
    }
}
