package org.quetzalscale.core.id;

/** Identifier of one attempt to run a job, known to the platform. */
public record TaskId(String value) implements Comparable<TaskId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public TaskId {
        Names.requireName("task", value);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
