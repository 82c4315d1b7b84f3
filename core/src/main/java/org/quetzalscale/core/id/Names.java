package org.quetzalscale.core.id;

import java.util.regex.Pattern;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Validates names; every valid name can be part of a row key, a URL or a label. */
public final class Names {
    private static final int MAX_NAME_CHARS = 63;
    private static final Pattern NAME =
            Pattern.compile("[a-z0-9]([a-z0-9.-]{0," + (MAX_NAME_CHARS - 2) + "}[a-z0-9])?");

    private Names() {}

    /**
     * Requires 1 to 63 characters of a-z, 0-9, '-' and '.', starting and ending with a letter or
     * digit.
     *
     * @param field the kind of thing that the name denotes, for the error message
     * @return the value
     * @throws QuetzalscaleException INVALID_FIELD if the value is not a valid name
     */
    public static String requireName(String field, String value) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD,
                    field,
                    "\""
                            + value
                            + "\" is not a valid "
                            + field
                            + " name: expected 1 to "
                            + MAX_NAME_CHARS
                            + " characters of a-z, 0-9, '-' and '.',"
                            + " starting and ending with a letter or digit");
        }
        return value;
    }
}
