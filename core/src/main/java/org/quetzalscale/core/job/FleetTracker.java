package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskState;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.share.Resources;

/**
 * Keeps what reports tell about jobs and workers, such as observed usage, failures and refusals,
 * and builds {@link FleetSnapshot}s from it, the configuration and the stored rows. Not
 * thread-safe.
 */
public final class FleetTracker {
    /** Delay of the first retry of a failed job, in milliseconds; it doubles with each failure. */
    private static final long INITIAL_RETRY_DELAY_MILLIS = 1_000;

    private static final int MAX_RETRY_DOUBLINGS = 5;

    /**
     * Limits an estimate to the part of the largest worker that corresponds to this multiple of the
     * job's slots.
     */
    private static final double MAX_SLOT_FACTOR = 2;

    /** Time without new tasks for a worker that refused one, in milliseconds. */
    private static final long REFUSAL_BACKOFF_MILLIS = 10_000;

    private final UsageEstimator estimator = new UsageEstimator();
    private final FaultAttribution attribution = new FaultAttribution();
    private final Map<JobId, Integer> lastRecordedAttempt = new HashMap<>();
    private final Map<WorkerId, Long> refusedUntilMillis = new HashMap<>();
    private final Map<JobId, Resources> observedUse = new HashMap<>();
    private final Map<JobId, Long> retryAtMillis = new HashMap<>();

    /** Fault attribution from the attempts recorded here. */
    public FaultAttribution attribution() {
        return attribution;
    }

    /** Records an attempt whose end was committed. */
    public void recordEnd(JobRow before, TaskReport report, long nowMillis) {
        estimator.addSample(before.spec(), report);
        switch (report.state()) {
            case SUCCEEDED -> record(before.id(), before.attempt(), report.worker(), true, "");
            case FAILED -> {
                record(before.id(), before.attempt(), report.worker(), false, report.reason());
                int doublings = (int) Math.min(MAX_RETRY_DOUBLINGS, before.failures());
                retryAtMillis.put(
                        before.id(), nowMillis + (INITIAL_RETRY_DELAY_MILLIS << doublings));
            }
            default -> {
                // Stopped and lost attempts indicate no fault of the job or the worker.
            }
        }
    }

    /** Restores failures from the rows that a former lease holder wrote. */
    public void restore(List<StoredJob> jobs) {
        for (StoredJob stored : jobs) {
            JobRow job = stored.job();
            for (Attempt attempt : job.attempts()) {
                if (attempt.end() == TaskState.FAILED) {
                    record(job.id(), attempt.number(), attempt.worker(), false, attempt.reason());
                }
            }
        }
    }

    /** Records that a worker refused a task; it gets no new tasks for a while. */
    public void recordRefusal(WorkerId worker, long nowMillis) {
        refusedUntilMillis.put(worker, nowMillis + REFUSAL_BACKOFF_MILLIS);
    }

    /** Discards state of all jobs but these, which are the open ones. */
    public void retainJobs(Set<JobId> open) {
        retryAtMillis.keySet().retainAll(open);
        lastRecordedAttempt.keySet().retainAll(open);
        observedUse.keySet().retainAll(open);
    }

    /**
     * Operator-readable reason why a job fits on no declared worker of its pool, or empty if it
     * fits on one or the pool has no workers.
     */
    public static Optional<String> unschedulableReason(JobSpec spec, ConfigSnapshot config) {
        Resources declared =
                new Resources(spec.cores(), spec.memoryMib(), spec.accelerators(), spec.slots());
        Resources largest = Resources.NONE;
        boolean any = false;
        for (Versioned versioned : config.all(Kind.WORKERS).values()) {
            WorkerSpec worker = (WorkerSpec) versioned.spec();
            if (!spec.pool().isEmpty() && !spec.pool().equals(worker.pool().value())) {
                continue;
            }
            if (declared.fitsIn(capacity(worker))) {
                return Optional.empty();
            }
            any = true;
            largest = largest.max(capacity(worker));
        }
        if (!any) {
            return Optional.empty();
        }
        return Optional.of(
                String.format(
                        Locale.ROOT,
                        "needs %d cores, %d MiB, %d accelerators and %d slots;"
                                + " no worker has them together, the most of each are"
                                + " %.0f cores, %.0f MiB, %.0f accelerators and %.0f slots",
                        spec.cores(),
                        spec.memoryMib(),
                        spec.accelerators(),
                        spec.slots(),
                        largest.cores(),
                        largest.memoryMib(),
                        largest.accelerators(),
                        largest.slots()));
    }

    /**
     * Builds the input of the scheduler.
     *
     * @param quarantined workers that get no jobs until an operator lifts the quarantine
     * @param nowMillis monotonic time in milliseconds
     * @param wallClockMillis wall-clock time in milliseconds
     */
    public FleetSnapshot snapshot(
            ConfigSnapshot config,
            List<StoredJob> jobs,
            Map<TeamId, LimitRow> limits,
            Set<WorkerId> quarantined,
            TaskTracker taskTracker,
            long nowMillis,
            long wallClockMillis) {
        List<WaitingJob> waiting = new ArrayList<>();
        List<RunningJob> running = new ArrayList<>();
        Resources largest = Resources.NONE;
        for (Versioned versioned : config.all(Kind.WORKERS).values()) {
            largest = largest.max(capacity((WorkerSpec) versioned.spec()));
        }
        Set<WorkerId> occupied = new HashSet<>();
        for (StoredJob stored : jobs) {
            JobRow job = stored.job();
            if (job.state().holdsUnits()) {
                RunningJob placed = runningJob(stored, taskTracker, largest);
                running.add(placed);
                occupied.add(placed.worker());
            } else if (retryAtMillis.getOrDefault(job.id(), nowMillis) <= nowMillis) {
                waiting.add(
                        new WaitingJob(stored, need(job, largest), attribution.failedOn(job.id())));
            }
        }
        Function<WorkerId, Boolean> blocked =
                worker ->
                        quarantined.contains(worker)
                                || refusedUntilMillis.getOrDefault(worker, nowMillis) > nowMillis
                                || attribution.isOnProbation(worker) && occupied.contains(worker);
        return new FleetSnapshot(
                wallClockMillis, workers(config, blocked), teams(config, limits), waiting, running);
    }

    /**
     * Expected usage of a job. Usage observed for the job itself is preferred to the estimate for
     * its class. The estimate is capped, because one far above the job's slots would make the job
     * wait for an empty worker, which costs more than stopping the job if the estimate proves
     * right.
     */
    private Resources need(JobRow job, Resources largest) {
        Resources observed = observedUse.get(job.id());
        if (observed != null) {
            return observed.min(largest);
        }
        JobSpec spec = job.spec();
        double fraction = MAX_SLOT_FACTOR * spec.slots() / Math.max(1, largest.slots());
        Resources limit =
                new Resources(spec.cores(), spec.memoryMib(), spec.accelerators(), spec.slots())
                        .max(largest.times(Math.min(1, fraction)));
        return estimator.need(spec).min(limit).min(largest);
    }

    private RunningJob runningJob(StoredJob stored, TaskTracker taskTracker, Resources largest) {
        JobSpec spec = stored.job().spec();
        TaskId task = stored.job().task();
        Optional<TaskReport> report = taskTracker.report(task);
        int percent = taskTracker.throttlePercent(task);
        long ranMillis = report.map(TaskReport::runMillis).orElse(0L);
        // The estimate is fixed at the start of the job, so that a changing estimate does not
        // overcommit the worker.
        Resources use = need(stored.job(), largest);
        observedUse.put(stored.job().id(), use);
        if (report.isPresent() && percent == 100) {
            use = estimator.use(spec, report.get(), use);
            observedUse.put(stored.job().id(), use);
        }
        if (percent < 100) {
            double allowed = spec.cores() * percent / 100.0;
            use =
                    new Resources(
                            Math.min(allowed, use.cores()),
                            use.memoryMib(),
                            use.accelerators(),
                            use.slots());
        }
        return new RunningJob(
                stored,
                use,
                ranMillis,
                taskTracker.unsavedMillis(task),
                Math.max(0, estimator.runMillis(spec) - ranMillis),
                percent);
    }

    /** All configured workers, without regard to quarantine, refusals and probation. */
    public static List<WorkerSnapshot> workers(ConfigSnapshot config) {
        return workers(config, worker -> false);
    }

    private static List<WorkerSnapshot> workers(
            ConfigSnapshot config, Function<WorkerId, Boolean> blocked) {
        List<WorkerSnapshot> snapshots = new ArrayList<>();
        config.all(Kind.WORKERS)
                .forEach(
                        (name, versioned) -> {
                            WorkerSpec spec = (WorkerSpec) versioned.spec();
                            WorkerId worker = new WorkerId(name);
                            Optional<AssignmentSpec> assigned = config.assignment(worker);
                            WorkerPhase phase =
                                    assigned.map(AssignmentSpec::phase).orElse(WorkerPhase.ACTIVE);
                            String pool =
                                    assigned.map(AssignmentSpec::pool).orElse(spec.pool()).value();
                            boolean leaving = spec.drain() || phase == WorkerPhase.DRAINING;
                            boolean accepts =
                                    !leaving
                                            && phase == WorkerPhase.ACTIVE
                                            && !blocked.apply(worker);
                            snapshots.add(
                                    new WorkerSnapshot(
                                            worker, pool, capacity(spec), accepts, leaving));
                        });
        return snapshots;
    }

    private static List<TeamSnapshot> teams(ConfigSnapshot config, Map<TeamId, LimitRow> limits) {
        List<TeamSnapshot> snapshots = new ArrayList<>();
        config.all(Kind.TEAMS)
                .forEach(
                        (name, versioned) -> {
                            TeamSpec spec = (TeamSpec) versioned.spec();
                            TeamId team = new TeamId(name);
                            LimitRow limit =
                                    limits.getOrDefault(
                                            team, new LimitRow(spec.upperLimit(), Map.of()));
                            int held = limit.block(LimitRow.JOBS).granted();
                            snapshots.add(
                                    new TeamSnapshot(
                                            team, spec.share(), held + limit.free(), limit.free()));
                        });
        return snapshots;
    }

    private static Resources capacity(WorkerSpec spec) {
        return new Resources(spec.cores(), spec.memoryMib(), spec.accelerators(), spec.slots());
    }

    private void record(JobId job, int attempt, WorkerId worker, boolean succeeded, String reason) {
        // Attempts of a job never overlap, so the highest recorded number identifies duplicates.
        if (lastRecordedAttempt.getOrDefault(job, 0) < attempt) {
            lastRecordedAttempt.put(job, attempt);
            attribution.record(job, worker, succeeded, reason);
        }
    }
}
