package org.quetzalscale.core.job;

import java.util.List;

/**
 * What the scheduler decides on.
 *
 * @param nowMillis wall-clock time in milliseconds, for ages and deadlines
 */
public record FleetView(
        long nowMillis,
        List<WorkerView> workers,
        List<TeamView> teams,
        List<WaitingJob> waiting,
        List<RunningJob> running) {
    /** Copies the lists. */
    public FleetView {
        workers = List.copyOf(workers);
        teams = List.copyOf(teams);
        waiting = List.copyOf(waiting);
        running = List.copyOf(running);
    }
}
