package org.quetzalscale.core.resource;

/**
 * A team's share and limit of the fleet's capacity.
 *
 * @param share weight among the teams that compete when the fleet is full, above 0
 * @param upperLimit maximum number of units that the team runs at once across the fleet; a unit is
 *     one running request or one slot of a running job
 */
public record TeamSpec(double share, int upperLimit) implements Spec {
    private static final int MAX_UPPER_LIMIT = 1_000_000;

    /** Checks the ranges; throws INVALID_FIELD. */
    public TeamSpec {
        Fields.requirePositive("spec.share", share);
        Fields.requireRange("spec.upperLimit", upperLimit, 0, MAX_UPPER_LIMIT);
    }

    @Override
    public Kind kind() {
        return Kind.TEAMS;
    }
}
