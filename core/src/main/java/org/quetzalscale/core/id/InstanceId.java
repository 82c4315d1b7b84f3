package org.quetzalscale.core.id;

/** Identifier of one entry instance of the system. */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Checks the form of the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not of
     *     the form that {@link Names} requires
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
