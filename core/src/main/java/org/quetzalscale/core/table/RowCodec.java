package org.quetzalscale.core.table;

/** Converts the value of one type of row to and from text. */
public interface RowCodec<T> {
    /** Writes the value as text. */
    String encode(T value);

    /**
     * Reads the value from text.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the text is not
     *     such a value
     */
    T decode(String text);
}
