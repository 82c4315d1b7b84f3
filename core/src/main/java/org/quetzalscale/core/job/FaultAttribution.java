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
 * Tells from one record of ended attempts whether a job or a worker is at fault. A job that failed
 * on several workers where other jobs succeeded afterwards is the suspect; a worker on which
 * several jobs failed that succeeded elsewhere, and none succeeded since, is the suspect. Not safe
 * for use by several threads.
 */
public final class FaultAttribution {
    /** Workers on which a job has to fail, while others succeed there, to be at fault. */
    private static final int MIN_WORKERS = 2;

    /** Jobs that have to fail on a worker and succeed elsewhere for it to be at fault. */
    private static final int MIN_JOBS = 3;

    /** Jobs that fail in a row on a worker before it gets only one at a time. */
    private static final int PROBATION_JOBS = 2;

    private static final int MAX_HISTORY = 8_192;

    private final Deque<EndedAttempt> history = new ArrayDeque<>();
    private final Map<WorkerId, Map<JobId, String>> failedSinceSuccess = new TreeMap<>();
    private final Map<WorkerId, Long> lastSuccess = new HashMap<>();
    private final Map<JobId, Map<WorkerId, Failure>> failedOn = new HashMap<>();
    private final Map<JobId, Integer> successes = new HashMap<>();
    private long sequence;

    /**
     * Records an attempt that ended by itself.
     *
     * @param reason why it failed, or empty if it succeeded
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

    /** Why a job can not run, in words for an operator, or empty if it is not at fault. */
    public Optional<String> jobFault(JobId job) {
        List<WorkerId> healthyWorkers = new ArrayList<>();
        String lastReason = "";
        for (Map.Entry<WorkerId, Failure> entry : failuresOf(job).entrySet()) {
            // A success before the failure would not tell: the worker may have broken since.
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

    /** Why a worker is at fault, in words for an operator, or empty if it is not. */
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

    /** Whether a worker should get only one job at a time, until one succeeds on it. */
    public boolean isOnProbation(WorkerId worker) {
        return failedSinceSuccess.getOrDefault(worker, Map.of()).size() >= PROBATION_JOBS;
    }

    /** Workers on which a job failed. */
    public Set<WorkerId> failedOn(JobId job) {
        return failuresOf(job).keySet();
    }

    /** Workers on which the latest attempt that ended by itself failed. */
    public Set<WorkerId> suspectWorkers() {
        return Set.copyOf(failedSinceSuccess.keySet());
    }

    /** Forgets what a worker did, after an operator cleared it. */
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

    /** One ended attempt. */
    private record EndedAttempt(JobId job, WorkerId worker, boolean succeeded, long sequence) {}

    /** A job's latest failure on a worker. */
    private record Failure(long sequence, String reason) {}
}
