package org.quetzalscale.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;

/**
 * Decides from the history of ended attempts whether a job or a worker causes failures. A job is at
 * fault if it failed on several workers on which other jobs succeeded afterwards. A worker is at
 * fault if several jobs failed on it that succeeded elsewhere and no job has succeeded on it since.
 * Not thread-safe.
 */
public final class FaultAttribution {
    /** Minimum number of healthy workers on which a job has to fail to be at fault. */
    private static final int MIN_WORKERS = 2;

    /** Minimum number of jobs that fail on a worker and succeed elsewhere for it to be at fault. */
    private static final int MIN_JOBS = 3;

    /** Number of jobs that fail on a worker without a success before it is put on probation. */
    private static final int PROBATION_JOBS = 2;

    /** Number of most recent attempts that are kept. */
    private static final int MAX_HISTORY = 8_192;

    private final Deque<EndedAttempt> history = new ArrayDeque<>();
    private final Map<WorkerId, Map<JobId, String>> failedSinceSuccess = new TreeMap<>();
    private final Map<WorkerId, Long> lastSuccess = new HashMap<>();
    private final Map<JobId, Map<WorkerId, Failure>> failedOn = new HashMap<>();
    private final Map<JobId, Integer> successes = new HashMap<>();
    private long sequence;

    /**
     * Records an attempt that succeeded or failed. Stopped and lost attempts are not recorded.
     *
     * @param reason failure reason, or empty if the attempt succeeded
     */
    public void record(JobId job, WorkerId worker, boolean succeeded, String reason) {
        sequence++;
        history.add(new EndedAttempt(job, worker, succeeded, sequence));
        if (succeeded) {
            successes.merge(job, 1, Integer::sum);
            lastSuccess.put(worker, sequence);
            failedSinceSuccess.remove(worker);
        } else {
            failedOn.computeIfAbsent(job, key -> new TreeMap<>())
                    .put(worker, new Failure(sequence, reason));
            failedSinceSuccess.computeIfAbsent(worker, key -> new TreeMap<>()).put(job, reason);
        }
        if (history.size() > MAX_HISTORY) {
            evict(history.remove());
        }
    }

    /** Operator-readable reason why a job is at fault, or empty if it is not. */
    public Optional<String> jobFault(JobId job) {
        List<WorkerId> healthyWorkers = new ArrayList<>();
        String lastReason = "";
        for (Map.Entry<WorkerId, Failure> entry : failuresOf(job).entrySet()) {
            // A success before the failure proves nothing: the worker may have broken since.
            if (lastSuccess.getOrDefault(entry.getKey(), 0L) > entry.getValue().sequence()) {
                healthyWorkers.add(entry.getKey());
                lastReason = entry.getValue().reason();
            }
        }
        if (healthyWorkers.size() < MIN_WORKERS || successes.containsKey(job)) {
            return Optional.empty();
        }
        return Optional.of(
                "failed on workers "
                        + healthyWorkers
                        + " where other jobs succeeded afterwards; last failure: "
                        + reasonOrDefault(lastReason));
    }

    /** Operator-readable reason why a worker is at fault, or empty if it is not. */
    public Optional<String> workerFault(WorkerId worker) {
        List<JobId> affectedJobs = new ArrayList<>();
        String lastReason = "";
        for (Map.Entry<JobId, String> failure :
                failedSinceSuccess.getOrDefault(worker, Map.of()).entrySet()) {
            if (successes.containsKey(failure.getKey())) {
                affectedJobs.add(failure.getKey());
                lastReason = failure.getValue();
            }
        }
        if (affectedJobs.size() < MIN_JOBS) {
            return Optional.empty();
        }
        return Optional.of(
                affectedJobs.size()
                        + " jobs failed on it that succeeded elsewhere, such as "
                        + affectedJobs.get(0)
                        + "; last failure: "
                        + reasonOrDefault(lastReason));
    }

    /** Whether a worker should run only one job at a time until a job succeeds on it. */
    public boolean isOnProbation(WorkerId worker) {
        return failedSinceSuccess.getOrDefault(worker, Map.of()).size() >= PROBATION_JOBS;
    }

    /** Workers on which a job has failed. */
    public Set<WorkerId> failedOn(JobId job) {
        return failuresOf(job).keySet();
    }

    /** Workers on which no attempt has succeeded since the latest failure. */
    public Set<WorkerId> suspectWorkers() {
        return Set.copyOf(failedSinceSuccess.keySet());
    }

    /** Clears the failures on a worker after an operator has lifted its quarantine. */
    public void clear(WorkerId worker) {
        failedSinceSuccess.remove(worker);
        failedOn.values().forEach(workers -> workers.remove(worker));
    }

    private Map<WorkerId, Failure> failuresOf(JobId job) {
        return failedOn.getOrDefault(job, Map.of());
    }

    private void evict(EndedAttempt oldest) {
        if (oldest.succeeded()) {
            successes.computeIfPresent(oldest.job(), (job, count) -> count > 1 ? count - 1 : null);
            return;
        }
        Map<WorkerId, Failure> failures = failedOn.get(oldest.job());
        Failure latest = failures == null ? null : failures.get(oldest.worker());
        if (latest != null && latest.sequence() == oldest.sequence()) {
            failures.remove(oldest.worker());
            if (failures.isEmpty()) {
                failedOn.remove(oldest.job());
            }
        }
    }

    private static String reasonOrDefault(String reason) {
        return reason.isEmpty() ? "no reason given" : reason;
    }

    /** An ended attempt; the sequence number orders attempts by time. */
    private record EndedAttempt(JobId job, WorkerId worker, boolean succeeded, long sequence) {}

    /** The latest failure of a job on a worker. */
    private record Failure(long sequence, String reason) {}
}
