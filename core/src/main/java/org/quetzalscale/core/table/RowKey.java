package org.quetzalscale.core.table;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Key of a row in the platform's table: segments joined by '/', such as {@code limit/team-a}. */
public record RowKey(String value) implements Comparable<RowKey> {
    private static final int MAX_KEY_CHARS = 512;

    /** Segments of a key that names a partition. */
    private static final int MIN_SEGMENTS = 2;

    /**
     * Checks the length.
     *
     * @throws QuetzalscaleException INVALID_FIELD if the key is empty or longer than 512 characters
     */
    public RowKey {
        if (value == null || value.isEmpty() || value.length() > MAX_KEY_CHARS) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    "key",
                    "row key \""
                            + value
                            + "\" does not have 1 to "
                            + MAX_KEY_CHARS
                            + " characters");
        }
    }

    /** Joins segments with '/'. */
    public static RowKey of(String... segments) {
        return new RowKey(String.join("/", segments));
    }

    /** The second segment, which names the store's partition of the row; may be empty. */
    public String partition() {
        String[] segments = value.split("/", MIN_SEGMENTS + 1);
        return segments.length < MIN_SEGMENTS ? "" : segments[1];
    }

    @Override
    public int compareTo(RowKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
