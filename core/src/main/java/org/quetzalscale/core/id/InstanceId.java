package org.quetzalscale.core.id;

/** Identifier of an instance: one of the system itself, or one that a pool consists of. */
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
