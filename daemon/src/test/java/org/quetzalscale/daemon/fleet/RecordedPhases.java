package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;

/** The phases of jobs in the store, and whether they agree with what the workers saw. */
final class RecordedPhases {
    private final Map<JobId, JobPhase> phases = new HashMap<>();
    private final RunHistory history;

    RecordedPhases(SimulatedStore store, RunHistory history) {
        this.history = history;
        for (Row row : store.rows(FleetRows.PROGRESS_PREFIX)) {
            JobProgress progress = JobRowCodecs.PROGRESS.decode(row.value());
            phases.put(progress.job(), progress.phase());
        }
    }

    /** Returns what is wrong with the phases of jobs that should have ended. */
    List<String> violations(Iterable<JobId> jobs) {
        List<String> found = new ArrayList<>();
        for (JobId id : jobs) {
            JobPhase phase = phases.getOrDefault(id, JobPhase.QUEUED);
            if (phase == JobPhase.COMPLETED && !history.isDone(id)) {
                found.add(id + " is completed, and not all of its tasks are done");
            } else if (phase == JobPhase.FAILED && !history.hasFailed(id)) {
                found.add(id + " is failed, and no task used up its attempts");
            } else if (!phase.isFinal()) {
                found.add(id + " is " + phase);
            }
        }
        return found;
    }
}
