package org.quetzalscale.core.resource;

import java.util.List;
import org.quetzalscale.core.id.PoolId;

/**
 * A maintenance wave over all workers of some pools.
 *
 * @param pools the pools, or empty for all
 * @param maxParallel maximum number of workers that this wave takes out of service at once
 * @param paused whether no further worker is drained for now
 * @param aborted whether the wave ends; workers under maintenance return to service
 * @param failureThreshold share of maintained workers that may fail before the wave stops, 0 to 1
 */
public record WaveSpec(
        List<PoolId> pools,
        WaveAction action,
        int maxParallel,
        boolean paused,
        boolean aborted,
        double failureThreshold)
        implements Spec {
    private static final int MAX_PARALLEL = 10_000;

    /** Checks the ranges; throws INVALID_FIELD. */
    public WaveSpec {
        pools = List.copyOf(pools);
        Fields.requirePresent("spec.action", action);
        Fields.requireRange("spec.maxParallel", maxParallel, 1, MAX_PARALLEL);
        Fields.requireFraction("spec.failureThreshold", failureThreshold);
    }

    @Override
    public Kind kind() {
        return Kind.WAVES;
    }
}
