package org.quetzalscale.core.id;

import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Sequence number of an accepted configuration change, starting with 1. */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision before the first change. */
    public static final Revision NONE = new Revision(0);

    /**
     * Checks the range.
     *
     * @throws QuetzalscaleException INVALID_FIELD if the value is negative
     */
    public Revision {
        if (value < 0) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD, "revision", "revision " + value + " is negative");
        }
    }

    /** The revision of the next accepted change. */
    public Revision next() {
        return new Revision(value + 1);
    }

    /** Whether this revision was accepted later than the other. */
    public boolean isNewerThan(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
