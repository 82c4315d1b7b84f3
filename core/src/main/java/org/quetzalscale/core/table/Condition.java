package org.quetzalscale.core.table;

import java.util.Objects;

/**
 * A condition on one row, checked when its transaction commits.
 *
 * @param version the version that the row must have; {@link #ABSENT} requires that it does not
 *     exist
 */
public record Condition(RowKey key, long version) {
    /** The version of a row that does not exist. */
    public static final long ABSENT = 0;

    /** Requires the key. */
    public Condition {
        Objects.requireNonNull(key, "key");
    }

    /** Requires that the row has not changed since it was read. */
    public static Condition unchanged(Row row) {
        return new Condition(row.key(), row.version());
    }

    /** Requires that the row does not exist. */
    public static Condition absent(RowKey key) {
        return new Condition(key, ABSENT);
    }
}
