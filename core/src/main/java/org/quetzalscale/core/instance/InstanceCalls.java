package org.quetzalscale.core.instance;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;

/**
 * Calls to the platform about the instances of the fleet. The stages of move and maintain never
 * fail.
 */
public interface InstanceCalls {
    /**
     * Lists all instances. The stage fails with STORE_UNAVAILABLE if no complete answer is
     * received.
     */
    CompletionStage<List<FleetInstance>> list();

    /** Moves an instance to a pool. Everything that runs on the instance ends. */
    CompletionStage<InstanceAnswer> move(InstanceId instance, PoolId pool, long fence);

    /**
     * Starts the maintenance of an instance for a wave. Everything that runs on the instance ends.
     */
    CompletionStage<InstanceAnswer> maintain(InstanceId instance, long wave, long fence);
}
