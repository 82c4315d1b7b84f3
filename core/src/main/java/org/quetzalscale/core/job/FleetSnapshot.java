package org.quetzalscale.core.job;

import java.util.List;

/**
 * What the scheduler decides on.
 *
 * @param nowMillis wall-clock time in milliseconds, for ages and deadlines
 */
public record FleetSnapshot(
        long nowMillis,
        List<WorkerSnapshot> workers,
        List<TeamSnapshot> teams,
        List<WaitingJob> waiting,
        List<RunningJob> running) {
    /** Copies the lists. */
    public FleetSnapshot {
        workers = List.copyOf(workers);
        teams = List.copyOf(teams);
        waiting = List.copyOf(waiting);
        running = List.copyOf(running);
    }
}
