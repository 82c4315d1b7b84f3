package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StepProgress;
import org.tinylog.Logger;

/**
 * The progress of jobs as the store has it at the beginning of a term.
 *
 * @param progress the records that can be read
 * @param unreadable jobs with a record that cannot be read: what they have run is not known
 * @param whileUnreadable what owners recorded of a job while its record could not be read
 * @param ranges keys of the rows with ranges of tasks, by the job's row of progress
 */
record RecordedProgress(
        Map<JobId, JobProgress> progress,
        Set<JobId> unreadable,
        Map<JobId, JobProgress> whileUnreadable,
        Map<RowKey, Set<RowKey>> ranges) {
    static final RecordedProgress NONE =
            new RecordedProgress(Map.of(), Set.of(), Map.of(), Map.of());

    /** Decodes rows. A row whose key names no job is logged and ignored. */
    static RecordedProgress of(List<Row> rows) {
        RecordedProgress found =
                new RecordedProgress(
                        new HashMap<>(), new HashSet<>(), new HashMap<>(), new HashMap<>());
        Map<RowKey, List<StepProgress>> steps = new HashMap<>();
        rows.forEach(row -> StoreFailures.applyOrLog(row.key(), () -> found.add(row, steps)));
        steps.forEach(found::addSteps);
        return found;
    }

    Optional<JobProgress> of(JobId id) {
        return Optional.ofNullable(progress.get(id));
    }

    Optional<JobProgress> whileUnreadable(JobId id) {
        return Optional.ofNullable(whileUnreadable.get(id));
    }

    static void logUnreadable(JobId id, RowKey key, RuntimeException cause) {
        Logger.error(
                "event=progress_unreadable job={} key={} cause=\"{}\"", id, key, cause.toString());
    }

    private void add(Row row, Map<RowKey, List<StepProgress>> steps) {
        RowKey main = FleetRows.mainProgress(row.key());
        JobId id = FleetRows.jobOfProgress(row.key());
        if (!main.equals(row.key())) {
            ranges.computeIfAbsent(main, key -> new HashSet<>()).add(row.key());
        }
        try {
            JobProgress value = JobRowCodecs.PROGRESS.decode(row.value());
            if (!value.job().equals(id)) {
                throw new IllegalArgumentException("the row has the progress of " + value.job());
            }
            if (main.equals(row.key())) {
                progressFor(main).put(id, value);
            } else {
                steps.computeIfAbsent(main, key -> new ArrayList<>()).addAll(value.steps());
            }
        } catch (RuntimeException e) {
            unreadable.add(id);
            logUnreadable(id, row.key(), e);
        }
    }

    private Map<JobId, JobProgress> progressFor(RowKey main) {
        JobId id = FleetRows.jobOfProgress(main);
        return main.equals(FleetRows.progress(id)) ? progress : whileUnreadable;
    }

    /**
     * Adds steps that are recorded by ranges of tasks. They follow those in the row of the job,
     * which are from before the job was split. The first ranges of a job precede its row.
     */
    private void addSteps(RowKey main, List<StepProgress> steps) {
        JobId id = FleetRows.jobOfProgress(main);
        Map<JobId, JobProgress> records = progressFor(main);
        JobProgress record =
                records.getOrDefault(id, new JobProgress(id, JobPhase.RUNNING, List.of()));
        List<StepProgress> all = new ArrayList<>(record.steps());
        all.addAll(steps);
        records.put(id, new JobProgress(id, record.phase(), record.doneOccurrences(), all));
    }
}
