package org.quetzalscale.core.id;

/** Name of a maintenance wave. */
public record WaveId(String value) implements Comparable<WaveId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public WaveId {
        Names.requireName("wave", value);
    }

    @Override
    public int compareTo(WaveId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
