package org.quetzalscale.core.id;

/** Identifier of an organisation that submits jobs. */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    /**
     * Validates the name.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD if the name is not
     *     valid as defined by {@link Names}
     */
    public OrganisationId {
        Names.requireName("organisation", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
