package org.quetzalscale.core.id;

/** Name of a worker: a machine of one pool that runs requests and tasks. */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public WorkerId {
        Names.requireName("worker", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
