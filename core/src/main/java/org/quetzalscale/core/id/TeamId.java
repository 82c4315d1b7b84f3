package org.quetzalscale.core.id;

/** Name of a team: a customer whose members submit work. */
public record TeamId(String value) implements Comparable<TeamId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public TeamId {
        Names.requireName("team", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
