package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.instance.InstanceState;

/**
 * Finds workers that have ended, by the list of instances: unresponsive ones that no listed
 * instance runs. It answers workers that crash or whose instances an earlier owner moved, and whose
 * entries remain for some time.
 */
final class EndedWorkers {
    /**
     * How old the state that a list of instances shows may be when the list is requested. A worker
     * that answered after that state may have come up since.
     */
    static final long MAX_LIST_LAG_MILLIS = 3_000;

    /**
     * A worker without an instance must be unresponsive for this long before it counts as ended: a
     * starting worker may be registered before the list of instances shows it.
     */
    private static final long MIN_UNRESPONSIVE_MILLIS = 250;

    private final FleetState fleet;

    /**
     * A worker that has ended.
     *
     * @param ordered whether an order for its instance ended it, which may be a former owner's
     */
    record Ended(WorkerState worker, boolean ordered) {}

    EndedWorkers(FleetState fleet) {
        this.fleet = fleet;
    }

    /**
     * Records which instances run the workers, and returns the workers that have ended.
     *
     * @param requestedMillis when the list was requested
     */
    List<Ended> find(List<FleetInstance> instances, long requestedMillis, long nowMillis) {
        Set<WorkerId> running = new HashSet<>();
        Set<InstanceId> ordered = new HashSet<>();
        for (FleetInstance instance : instances) {
            if (instance.state() == InstanceState.MOVING
                    || instance.state() == InstanceState.MAINTENANCE) {
                ordered.add(instance.id());
            }
            if (instance.up()) {
                instance.worker().ifPresent(running::add);
            }
            WorkerState worker = instance.worker().map(fleet.workers::get).orElse(null);
            if (worker != null) {
                worker.instance = instance.id();
            }
        }
        List<Ended> ended = new ArrayList<>();
        for (WorkerState worker : fleet.workers.values()) {
            if (worker.isUnresponsiveFor(MIN_UNRESPONSIVE_MILLIS, nowMillis)
                    && requestedMillis - worker.heardMillis > MAX_LIST_LAG_MILLIS
                    && !running.contains(worker.entry.id())) {
                ended.add(new Ended(worker, ordered.contains(worker.instance)));
            }
        }
        return ended;
    }
}
