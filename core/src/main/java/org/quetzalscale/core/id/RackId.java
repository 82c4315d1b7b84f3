package org.quetzalscale.core.id;

/** Name of a rack within an availability zone. */
public record RackId(String value) implements Comparable<RackId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public RackId {
        Names.requireName("rack", value);
    }

    @Override
    public int compareTo(RackId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
