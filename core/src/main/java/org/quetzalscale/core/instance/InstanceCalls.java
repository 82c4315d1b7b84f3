package org.quetzalscale.core.instance;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;

/** Calls for instances of the fleet. Stages of orders never fail. */
public interface InstanceCalls {
    /** All instances. The stage fails with STORE_UNAVAILABLE if there is no whole answer. */
    CompletionStage<List<FleetInstance>> list();

    /** Moves an instance to a pool; all that runs on it ends. */
    CompletionStage<InstanceAnswer> move(InstanceId instance, PoolId pool, long fence);

    /** Maintains an instance for a wave; all that runs on it ends. */
    CompletionStage<InstanceAnswer> maintain(InstanceId instance, long wave, long fence);
}
