package org.quetzalscale.core.id;

/** Name of a pool of workers. */
public record PoolId(String value) implements Comparable<PoolId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public PoolId {
        Names.requireName("pool", value);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
