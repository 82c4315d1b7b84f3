package org.quetzalscale.core.id;

/** Name of an availability zone. */
public record ZoneId(String value) implements Comparable<ZoneId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public ZoneId {
        Names.requireName("availability zone", value);
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
