package org.quetzalscale.core.id;

/** Name of a key that a team sends to authenticate its requests. */
public record KeyId(String value) implements Comparable<KeyId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
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
