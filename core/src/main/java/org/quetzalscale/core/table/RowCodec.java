package org.quetzalscale.core.table;

/** Converts the values of one type of row to and from text. */
public interface RowCodec<T> {
    /** Writes the value as text. */
    String encode(T value);

    /**
     * Reads the value from text.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the text is not a
     *     valid value
     */
    T decode(String text);
}
