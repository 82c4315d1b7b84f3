package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceAnswer;
import org.quetzalscale.core.instance.InstanceCalls;
import org.quetzalscale.core.instance.InstanceState;

/** The platform's instances in virtual time. Maintenance ends a worker; all moves are refused. */
final class SimulatedInstances {
    static final long MAINTENANCE_MILLIS = 2_000;

    private static final int LIST_MILLIS = 5;
    private static final int ORDER_MILLIS = 3;

    /** How much longer it takes to answer a list of the instances. */
    int listDelayMillis;

    private final VirtualLoop loop;
    private final RunHistory history;
    private final PoolId pool;
    private final BiFunction<InstanceId, SimulatedWorker, SimulatedWorker> replacement;
    private final Map<InstanceId, SimulatedWorker> workers = new LinkedHashMap<>();
    private final Map<InstanceId, Long> fences = new HashMap<>();
    private final Set<InstanceId> maintained = new HashSet<>();
    private final Set<InstanceId> down = new HashSet<>();

    /**
     * Creates a platform without instances.
     *
     * @param replacement provides the worker that runs on an instance after its maintenance
     */
    SimulatedInstances(
            VirtualLoop loop,
            RunHistory history,
            PoolId pool,
            BiFunction<InstanceId, SimulatedWorker, SimulatedWorker> replacement) {
        this.loop = loop;
        this.history = history;
        this.pool = pool;
        this.replacement = replacement;
    }

    void add(InstanceId id, SimulatedWorker worker) {
        workers.put(id, worker);
    }

    List<SimulatedWorker> workers() {
        return List.copyOf(workers.values());
    }

    List<InstanceId> ids() {
        return List.copyOf(workers.keySet());
    }

    boolean allMaintained() {
        return maintained.containsAll(workers.keySet());
    }

    /** The client of one process. */
    InstanceCalls clientFor(SimulatedProcess process) {
        return new Calls(process);
    }

    private List<FleetInstance> list() {
        List<FleetInstance> present = new ArrayList<>();
        workers.forEach((id, worker) -> present.add(instance(id, worker)));
        return present;
    }

    private FleetInstance instance(InstanceId id, SimulatedWorker worker) {
        InstanceState state = worker.up ? InstanceState.UP : InstanceState.DOWN;
        return new FleetInstance(
                id,
                pool,
                down.contains(id) ? InstanceState.MAINTENANCE : state,
                "",
                worker.up ? Optional.of(new WorkerId(worker.id)) : Optional.empty());
    }

    private InstanceAnswer maintain(InstanceId id, long fence) {
        if (fence < fences.getOrDefault(id, 0L)) {
            return InstanceAnswer.FENCED;
        }
        fences.put(id, fence);
        if (maintained.contains(id)) {
            return InstanceAnswer.DONE;
        }
        SimulatedWorker worker = workers.get(id);
        if (!worker.up) {
            return InstanceAnswer.BUSY;
        }
        if (!down.isEmpty()) {
            history.addViolation(loop.nowMillis() + ": " + id + " goes down beside " + down);
        }
        maintained.add(id);
        down.add(id);
        worker.crash(true);
        loop.after(
                MAINTENANCE_MILLIS,
                () -> {
                    down.remove(id);
                    workers.put(id, replacement.apply(id, worker));
                });
        return InstanceAnswer.DONE;
    }

    private final class Calls implements InstanceCalls {
        private final SimulatedProcess process;

        Calls(SimulatedProcess process) {
            this.process = process;
        }

        @Override
        public CompletionStage<List<FleetInstance>> list() {
            CompletableFuture<List<FleetInstance>> reply = new CompletableFuture<>();
            process.deliver(LIST_MILLIS + listDelayMillis, reply, SimulatedInstances.this.list());
            return reply;
        }

        @Override
        public CompletionStage<InstanceAnswer> move(InstanceId id, PoolId destination, long fence) {
            return CompletableFuture.completedFuture(InstanceAnswer.BUSY);
        }

        @Override
        public CompletionStage<InstanceAnswer> maintain(InstanceId id, long wave, long fence) {
            CompletableFuture<InstanceAnswer> reply = new CompletableFuture<>();
            loop.after(
                    ORDER_MILLIS,
                    () ->
                            process.deliver(
                                    ORDER_MILLIS,
                                    reply,
                                    SimulatedInstances.this.maintain(id, fence)));
            return reply;
        }
    }
}
