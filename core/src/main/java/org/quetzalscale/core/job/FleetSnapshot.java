package org.quetzalscale.core.job;

import java.util.List;

/**
 * Workers, teams and jobs at one point in time: the input of {@link JobScheduler}.
 *
 * @param nowMillis wall-clock time in milliseconds, used for job ages
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
