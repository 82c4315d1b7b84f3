package org.quetzalscale.core.id;

/** Name of a worker: a machine that runs the work of one pool. */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /**
     * Checks the form of the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not of
     *     the form that {@link Names} requires
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
