package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceCalls;

/** Calls about instances whose orders are sent while an {@link OrderGate} is open. */
record GatedInstanceCalls(InstanceCalls calls, OrderGate gate) implements InstanceCalls {
    @Override
    public CompletionStage<List<FleetInstance>> list() {
        return calls.list();
    }

    @Override
    public CompletionStage<InstanceAnswer> move(InstanceId instance, PoolId pool, long fence) {
        return gate.isOpen()
                ? calls.move(instance, pool, fence)
                : CompletableFuture.completedFuture(InstanceAnswer.UNAVAILABLE);
    }

    @Override
    public CompletionStage<InstanceAnswer> maintain(InstanceId instance, long wave, long fence) {
        return gate.isOpen()
                ? calls.maintain(instance, wave, fence)
                : CompletableFuture.completedFuture(InstanceAnswer.UNAVAILABLE);
    }
}
