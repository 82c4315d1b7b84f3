package org.quetzalscale.core.resource;

/**
 * A pool of workers.
 *
 * @param minAvailable availability budget: workers that drains and reboots must leave available
 * @param spare whether other pools may borrow its workers
 */
public record PoolSpec(int minAvailable, boolean spare) implements Spec {
    private static final int MAX_WORKERS = 10_000;

    /** Checks the range; throws INVALID_FIELD. */
    public PoolSpec {
        Fields.requireRange("spec.minAvailable", minAvailable, 0, MAX_WORKERS);
    }

    @Override
    public Kind kind() {
        return Kind.POOLS;
    }
}
