package org.quetzalscale.daemon.job;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.job.StoredJob;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/** Counts the tasks on each worker by the rows of open jobs, for the end of drains. */
public final class TaskCensus {
    private static final long VALID_MILLIS = 3_000;

    private final JobStore store;
    private final TimeSource time;
    private volatile Counts counts = new Counts(Long.MIN_VALUE / 2, Map.of());

    private record Counts(long readMillis, Map<String, Integer> byWorker) {}

    /** A census of the store's jobs, without counts before the first refresh. */
    public TaskCensus(JobStore store, TimeSource time) {
        this.store = store;
        this.time = time;
    }

    /** Reads the rows of all open jobs; call it only while a worker drains. */
    public void refresh() {
        long startMillis = time.nowMillis();
        store.openJobs()
                .whenComplete(
                        (jobs, failure) -> {
                            if (failure != null) {
                                Logger.debug("open jobs not read: {}", failure.toString());
                                return;
                            }
                            Map<String, Integer> byWorker = new HashMap<>();
                            for (StoredJob job : jobs) {
                                // A queued job keeps no worker, so each named one has a task.
                                byWorker.merge(job.job().worker(), 1, Integer::sum);
                            }
                            counts = new Counts(startMillis, byWorker);
                        });
    }

    /** Tasks on the worker, or empty if they were not counted within 3 s. */
    public OptionalInt tasks(WorkerId worker) {
        Counts latest = counts;
        if (time.nowMillis() - latest.readMillis() > VALID_MILLIS) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(latest.byWorker().getOrDefault(worker.value(), 0));
    }
}
