package org.quetzalscale.daemon.fleet;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceCalls;

/** Calls about instances whose orders pass an {@link OrderGate}. */
record GatedInstanceCalls(InstanceCalls calls, OrderGate gate) implements InstanceCalls {
    @Override
    public CompletionStage<List<FleetInstance>> list() {
        return calls.list();
    }

    @Override
    public CompletionStage<InstanceAnswer> move(InstanceId instance, PoolId pool, long fence) {
        return gate.send(() -> calls.move(instance, pool, fence));
    }

    @Override
    public CompletionStage<InstanceAnswer> maintain(InstanceId instance, long wave, long fence) {
        return gate.send(() -> calls.maintain(instance, wave, fence));
    }
}
