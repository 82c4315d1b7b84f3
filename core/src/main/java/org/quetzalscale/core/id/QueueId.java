package org.quetzalscale.core.id;

/** Name of a queue to which callers send requests. */
public record QueueId(String value) implements Comparable<QueueId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public QueueId {
        Names.requireName("queue", value);
    }

    @Override
    public int compareTo(QueueId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
