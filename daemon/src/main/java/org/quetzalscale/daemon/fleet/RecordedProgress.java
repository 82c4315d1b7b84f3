package org.quetzalscale.daemon.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobProgress;
import org.tinylog.Logger;

/**
 * The progress of jobs as the store has it at the beginning of a term.
 *
 * @param progress the records that can be read
 * @param unreadable jobs with a record that cannot be read: what they have run is not known
 * @param whileUnreadable what owners recorded of a job while its record could not be read
 */
record RecordedProgress(
        Map<JobId, JobProgress> progress,
        Set<JobId> unreadable,
        Map<JobId, JobProgress> whileUnreadable) {
    static final RecordedProgress NONE = new RecordedProgress(Map.of(), Set.of(), Map.of());

    /** Decodes rows. A row whose key names no job is logged and ignored. */
    static RecordedProgress of(List<Row> rows) {
        RecordedProgress found =
                new RecordedProgress(new HashMap<>(), new HashSet<>(), new HashMap<>());
        rows.forEach(row -> StoreFailures.applyOrLog(row.key(), () -> found.add(row)));
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

    private void add(Row row) {
        JobId id = FleetRows.jobOfProgress(row.key());
        try {
            JobProgress value = JobRowCodecs.PROGRESS.decode(row.value());
            if (!value.job().equals(id)) {
                throw new IllegalArgumentException("the row has the progress of " + value.job());
            }
            boolean main = row.key().equals(FleetRows.progress(id));
            (main ? progress : whileUnreadable).put(id, value);
        } catch (RuntimeException e) {
            unreadable.add(id);
            logUnreadable(id, row.key(), e);
        }
    }
}
