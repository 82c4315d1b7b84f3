package org.quetzalscale.core.id;

/** Name of a queue that callers address. */
public record QueueId(String value) implements Comparable<QueueId> {
    /**
     * Checks the form of the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not of
     *     the form that {@link Names} requires
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
