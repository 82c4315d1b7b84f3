package org.quetzalscale.core.resource;

/**
 * Weights of a deployment's objectives in capacity decisions; only their ratios matter.
 *
 * @param bufferCost weight of capacity held ready without use
 * @param rollOutTime weight of the time that maintenance takes
 * @param moves weight of moves of workers between pools
 * @param share weight of the teams' distance from their shares
 */
public record DeploymentSpec(double bufferCost, double rollOutTime, double moves, double share)
        implements Spec {
    /** Checks the ranges; throws INVALID_FIELD. */
    public DeploymentSpec {
        Fields.requireNotNegative("spec.weights.bufferCost", bufferCost);
        Fields.requireNotNegative("spec.weights.rollOutTime", rollOutTime);
        Fields.requireNotNegative("spec.weights.moves", moves);
        Fields.requireNotNegative("spec.weights.share", share);
    }

    @Override
    public Kind kind() {
        return Kind.DEPLOYMENTS;
    }
}
