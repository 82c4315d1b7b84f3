package org.quetzalscale.core.id;

/** Name of a key that a team presents with its work. */
public record KeyId(String value) implements Comparable<KeyId> {
    /**
     * Checks the form of the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not of
     *     the form that {@link Names} requires
     */
    public KeyId {
        Names.requireName("key", value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
