package org.quetzalscale.core.id;

/** Identifier of a job. */
public record JobId(String value) implements Comparable<JobId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public JobId {
        Names.requireName("job", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
