package org.quetzalscale.core.id;

/** Identifier of an instance: of this system or of a pool. */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public InstanceId {
        Names.requireName("instance", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
