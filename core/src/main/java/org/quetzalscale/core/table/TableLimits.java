package org.quetzalscale.core.table;

import java.nio.charset.StandardCharsets;

/**
 * What a table takes at most.
 *
 * @param rowBytes size of a row's text in UTF-8
 */
public record TableLimits(int rowBytes) {
    /** The limits of a table that declares none. */
    public static final TableLimits DEFAULT = new TableLimits(48 * 1024);

    /**
     * Rejects limits that are not positive.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public TableLimits {
        if (rowBytes <= 0) {
            throw new IllegalArgumentException("rowBytes: " + rowBytes + " is not positive");
        }
    }

    /** Whether a row can hold the text. */
    public boolean fitsRow(String text) {
        return bytes(text) <= rowBytes;
    }

    /** The size of a text in bytes, as the limits count it. */
    public static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
