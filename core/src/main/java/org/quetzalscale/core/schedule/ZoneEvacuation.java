package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.id.PoolId;

/**
 * Empties evacuated zones of lasting tasks, which never end by themselves: stops them within the
 * budget of their step, and the dispatcher starts them in other zones once their ends are reported.
 *
 * <p>A task is stopped only if another zone has room for it, which is kept until the stop is
 * reported; without room, it serves better where it is. The tasks of a gang stay: none of them
 * works without the others, so they would have to be stopped together.
 */
final class ZoneEvacuation {
    private final FleetState fleet;
    private final JobLifecycle jobs;
    private final AvailabilityBudget budget;

    ZoneEvacuation(FleetState fleet, JobLifecycle jobs) {
        this.fleet = fleet;
        this.jobs = jobs;
        this.budget = new AvailabilityBudget(fleet);
    }

    /** Stops the tasks that can be restarted in another zone now. */
    void stopLastingTasks(long nowMillis) {
        releaseRoom();
        for (TrackedTask task : lastingTasksLeft()) {
            if (mayStop(task)) {
                stopIfRoomElsewhere(task, nowMillis);
            }
        }
    }

    /** The lasting tasks that are still on workers of evacuated zones. */
    List<TrackedTask> lastingTasksLeft() {
        List<TrackedTask> found = new ArrayList<>();
        if (fleet.evacuatedZones().isEmpty()) {
            return found;
        }
        for (WorkerState worker : fleet.workers.values()) {
            if (WorkerUse.keepsLastingTasks(worker)) {
                continue;
            }
            worker.tasks.values().stream()
                    .filter(task -> task.step.definition.lasting())
                    .forEach(found::add);
        }
        return found;
    }

    /** Gives back the room of tasks whose stop was reported, just before they are placed. */
    private void releaseRoom() {
        for (WorkerState worker : fleet.workers.values()) {
            worker.keptRoom.keySet().removeIf(task -> task.state != TrackedTask.State.STOPPING);
        }
    }

    /** A task of a suspended job is not stopped, because it would not be started again. */
    private boolean mayStop(TrackedTask task) {
        JobRun job = task.step.job;
        return task.state == TrackedTask.State.RUNNING
                && !task.evicting
                && !task.step.definition.gang()
                && !job.held
                && !job.progressUnreadable
                && WorkerUse.followsOrders(fleet.workers.get(task.worker))
                && budget.permitsStop(task);
    }

    private void stopIfRoomElsewhere(TrackedTask task, long nowMillis) {
        PoolId pool = task.step.job.definition.pool();
        WorkerState destination = Placement.choose(task, fleet.workersOf(pool), nowMillis);
        if (destination != null) {
            destination.keptRoom.put(task, task.step.definition.reserved());
            jobs.stop(task, nowMillis);
        }
    }
}
