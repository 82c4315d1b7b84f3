package org.quetzalscale.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.maintenance.Activity;
import org.quetzalscale.core.queue.FairAdmissionController;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.route.InstanceLoad;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.daemon.job.TaskCensus;

/** The load of the fleet as this instance knows it: its own, and what its siblings reported. */
final class FleetLoad {
    private final ConfigSource config;
    private final FairAdmissionController admission;
    private final WorkerChooser workers;
    private final TaskCensus tasks;
    private final Supplier<? extends Set<InstanceId>> siblings;

    /**
     * Combines the given sources.
     *
     * @param siblings the other instances that may send requests to workers
     */
    FleetLoad(
            ConfigSource config,
            FairAdmissionController admission,
            WorkerChooser workers,
            TaskCensus tasks,
            Supplier<? extends Set<InstanceId>> siblings) {
        this.config = config;
        this.admission = admission;
        this.workers = workers;
        this.tasks = tasks;
        this.siblings = siblings;
    }

    /** What this instance reports to its siblings. */
    InstanceLoad own() {
        return new InstanceLoad(workers.inFlight(), admission.demand());
    }

    /** What runs on a worker. */
    Activity activity(WorkerId worker) {
        return new Activity(workers.inFlight(worker, siblings.get()), tasks.tasks(worker));
    }

    /** Pools whose requests, waiting ones included, exceed their slots. */
    Set<PoolId> burstingPools() {
        return requests().entrySet().stream()
                .filter(pool -> pool.getValue() > workers.slots(pool.getKey()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Workers that the requests of each pool, waiting ones included, would keep busy. */
    Map<PoolId, Integer> workersNeeded() {
        double slots =
                config.snapshot().all(Kind.WORKERS).values().stream()
                        .mapToInt(worker -> ((WorkerSpec) worker.spec()).slots())
                        .average()
                        .orElse(1);
        Map<PoolId, Integer> needed = new HashMap<>();
        requests().forEach((pool, count) -> needed.put(pool, (int) Math.ceil(count / slots)));
        return needed;
    }

    private Map<PoolId, Integer> requests() {
        Map<PoolId, Integer> requests = workers.siblingDemand();
        admission.demand().forEach((pool, count) -> requests.merge(pool, count, Integer::sum));
        return requests;
    }
}
