package org.quetzalscale.daemon.job;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.job.JobStore;
import org.quetzalscale.core.job.StoredJob;
import org.quetzalscale.core.time.TimeSource;
import org.tinylog.Logger;

/** Counts the tasks on each worker from the rows of open jobs, to detect the end of a drain. */
public final class TaskCensus {
    private static final long MAX_AGE_MILLIS = 3_000;

    private final JobStore store;
    private final TimeSource time;
    private volatile Counts counts = new Counts(Long.MIN_VALUE / 2, Map.of());

    private record Counts(long readMillis, Map<String, Integer> byWorker) {}

    /** Creates a census of the store's jobs; there are no counts before the first refresh. */
    public TaskCensus(JobStore store, TimeSource time) {
        this.store = store;
        this.time = time;
    }

    /** Reads the rows of all open jobs. This is a scan, so call it only while a worker drains. */
    public void refresh() {
        long startMillis = time.nowMillis();
        store.openJobs()
                .whenComplete(
                        (jobs, failure) -> {
                            if (failure != null) {
                                Logger.debug(
                                        "could not read the open jobs: {}", failure.toString());
                                return;
                            }
                            Map<String, Integer> byWorker = new HashMap<>();
                            for (StoredJob job : jobs) {
                                // A queued job has an empty worker; any other open job has a task
                                // on its worker.
                                byWorker.merge(job.job().worker(), 1, Integer::sum);
                            }
                            counts = new Counts(startMillis, byWorker);
                        });
    }

    /** Number of tasks on the worker, or empty if the counts are older than 3 s. */
    public OptionalInt tasks(WorkerId worker) {
        Counts latest = counts;
        if (time.nowMillis() - latest.readMillis() > MAX_AGE_MILLIS) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(latest.byWorker().getOrDefault(worker.value(), 0));
    }
}
