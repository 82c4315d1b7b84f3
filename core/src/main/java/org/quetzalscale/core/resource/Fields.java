package org.quetzalscale.core.resource;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Checks of field values; each error names the field and the offending value. */
final class Fields {
    private Fields() {}

    static void requireRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw invalid(field, value, "expected a whole number from " + min + " to " + max);
        }
    }

    static void requirePositive(String field, double value) {
        if (!(value > 0) || Double.isInfinite(value)) {
            throw invalid(field, value, "expected a finite number above 0");
        }
    }

    static void requireFraction(String field, double value) {
        if (!(value >= 0 && value <= 1)) {
            throw invalid(field, value, "expected a number from 0 to 1");
        }
    }

    static void requireNotNegative(String field, double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw invalid(field, value, "expected a finite number of at least 0");
        }
    }

    static void requirePresent(String field, Object value) {
        if (value == null) {
            throw new QuetzalscaleException(ErrorKind.INVALID_FIELD, field, field + " is required");
        }
    }

    static QuetzalscaleException invalid(String field, Object value, String expected) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                field,
                field + " has the value " + value + ": " + expected);
    }
}
