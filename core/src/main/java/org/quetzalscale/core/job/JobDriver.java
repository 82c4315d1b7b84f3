package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.limit.Block;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.share.ShareMeter;
import org.quetzalscale.core.time.TimeSource;

/**
 * Control loop that drives jobs to completion while this instance holds the lease {@code jobs}.
 * Each tick reconciles the platform's tasks with the stored rows, so that it resumes what an
 * earlier tick, a former lease holder or a lost response left unfinished. A row assigns an attempt
 * to a worker before its task is started, and an attempt is recorded as ended only from the
 * platform's report.
 */
public final class JobDriver {
    private static final int JOBS_PER_TRANSACTION = 16;

    /** Minimum time between writes of the demand of the teams, in milliseconds. */
    private static final long DEMAND_INTERVAL_MILLIS = 1_000;

    /** Time between checks for a new lease holder after this instance lost the lease. */
    private static final long LEASE_CHECK_INTERVAL_MILLIS = 1_000;

    /** Time after which an attempt without a response to its start moves to another worker. */
    private static final long START_TIMEOUT_MILLIS = 10_000;

    private final JobStore store;
    private final ConfigSource config;
    private final Supplier<Optional<Lease>> leases;
    private final TimeSource time;
    private final TimeSource wallTime;
    private final TaskTracker taskTracker;
    private final FleetTracker fleetTracker = new FleetTracker();
    private final ShareMeter shareMeter = new ShareMeter();
    private final WriteRateLimiter rateLimiter;
    private final AtomicBoolean ticking = new AtomicBoolean();
    private final Map<TaskId, Long> assignedAtMillis = new HashMap<>();
    private Set<WorkerId> quarantinedWorkers = Set.of();
    private Lease lastLease;
    // False after a complete tick without open jobs, which has also reset the demand to zero.
    private boolean hadOpenJobs;
    private long leaseCheckedAtMillis;
    private long demandWrittenAtMillis;
    private volatile Map<TeamId, Double> shareDistances = Map.of();

    /**
     * Creates a driver; nothing happens until {@link #tick} is called.
     *
     * @param leases supplies the lease {@code jobs} while this instance holds it
     * @param time monotonic time
     * @param wallTime wall-clock time, used only for ages and deadlines
     * @param writesPerSecond maximum rate of transactions that the driver commits
     */
    public JobDriver(
            JobStore store,
            TaskRunner runner,
            ConfigSource config,
            Supplier<Optional<Lease>> leases,
            TimeSource time,
            TimeSource wallTime,
            int writesPerSecond) {
        this.store = store;
        this.config = config;
        this.leases = leases;
        this.time = time;
        this.wallTime = wallTime;
        this.taskTracker = new TaskTracker(runner);
        this.rateLimiter = new WriteRateLimiter(writesPerSecond, writesPerSecond, time.nowMillis());
    }

    /**
     * Fraction of its entitlement that each team did not get since this instance started, 0 to 1.
     */
    public Map<TeamId, Double> shareDistances() {
        return shareDistances;
    }

    /**
     * Runs one iteration of the control loop; does nothing if the previous one has not completed.
     * The stage fails if the store fails; the next call continues from the stored rows.
     */
    public CompletionStage<Void> tick() {
        if (!ticking.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(null);
        }
        CompletionStage<Void> done;
        try {
            done = reconcile();
        } catch (RuntimeException e) {
            done = CompletableFuture.failedFuture(e);
        }
        return done.whenComplete((nothing, thrown) -> ticking.set(false));
    }

    private CompletionStage<Void> reconcile() {
        taskTracker.processReplies();
        Optional<Lease> lease = leases.get();
        if (lease.isEmpty()) {
            return renewUntilTakenOver();
        }
        taskTracker.renewDue(time.nowMillis());
        boolean newLease = !lease.get().equals(lastLease);
        lastLease = lease.get();
        return store.openJobs()
                .thenCompose(
                        jobs -> {
                            if (jobs.isEmpty() && !hadOpenJobs && !newLease) {
                                // Limits and quarantined workers are irrelevant without jobs.
                                // Reading them five times a second was most of the store traffic
                                // of an idle lease holder.
                                return CompletableFuture.completedFuture(null);
                            }
                            hadOpenJobs = true;
                            return reconcileJobs(jobs, newLease);
                        });
    }

    private CompletionStage<Void> reconcileJobs(List<StoredJob> open, boolean newLease) {
        return store.limits()
                .thenApply(limits -> new Tick(lastLease, open, limits))
                .thenCombine(store.workerFaults(), Tick::withFaults)
                .thenCompose(
                        tick -> {
                            if (newLease) {
                                taskTracker.clear();
                                fleetTracker.restore(tick.jobs());
                            }
                            taskTracker.track(tick.jobs());
                            return recordEndedAttempts(tick);
                        })
                .thenCompose(this::quarantineWorkers)
                .thenCompose(this::schedule)
                .thenCompose(this::writeDemand)
                .thenAccept(
                        tick -> {
                            taskTracker.track(tick.jobs());
                            if (leases.get().equals(Optional.of(tick.lease()))) {
                                taskTracker.issueCalls(time.nowMillis());
                            }
                            discardEnded(tick);
                            hadOpenJobs = !open.isEmpty();
                        });
    }

    /**
     * Renews running tasks while this instance has lost the lease. A store outage ends the lease,
     * but must not end running tasks, so they are renewed until the store shows that another
     * instance holds the lease and renews them.
     */
    private CompletionStage<Void> renewUntilTakenOver() {
        long now = time.nowMillis();
        if (lastLease == null || taskTracker.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        taskTracker.renewDue(now);
        if (now - leaseCheckedAtMillis < LEASE_CHECK_INTERVAL_MILLIS) {
            return CompletableFuture.completedFuture(null);
        }
        leaseCheckedAtMillis = now;
        return store.isCurrent(lastLease)
                .thenAccept(
                        current -> {
                            if (!current) {
                                taskTracker.clear();
                                lastLease = null;
                            }
                        });
    }

    private CompletionStage<Tick> recordEndedAttempts(Tick tick) {
        List<JobChange> changes = new ArrayList<>();
        Map<JobId, TaskReport> reports = new HashMap<>();
        for (StoredJob stored : tick.jobs()) {
            JobRow job = stored.job();
            if (!job.state().holdsUnits()) {
                continue;
            }
            Optional<TaskReport> report = taskTracker.report(job.task());
            if (report.isPresent() && report.get().state().ended()) {
                reports.put(job.id(), report.get());
                changes.add(
                        CompletionPolicy.endAttempt(
                                stored, report.get(), fleetTracker.attribution()));
            } else if (report.isPresent() && hasUnrecordedProgress(job, report.get())) {
                changes.add(JobChange.progress(stored, report.get()));
            }
        }
        return commitAll(tick, changes)
                .thenApply(
                        committed -> {
                            for (JobChange change : committed) {
                                JobRow before = change.before().job();
                                TaskReport report = reports.get(before.id());
                                if (report != null) {
                                    fleetTracker.recordEnd(before, report, time.nowMillis());
                                }
                            }
                            return tick;
                        });
    }

    /** Whether the report has a checkpoint or worker that is not in the row yet. */
    private static boolean hasUnrecordedProgress(JobRow job, TaskReport report) {
        boolean saved =
                !report.checkpoint().isEmpty() && !report.checkpoint().equals(job.checkpoint());
        return saved || !report.worker().value().equals(job.worker());
    }

    private CompletionStage<Tick> quarantineWorkers(Tick tick) {
        CompletionStage<Tick> stage = CompletableFuture.completedFuture(tick);
        for (WorkerId worker : quarantinedWorkers) {
            if (!tick.faults().containsKey(worker)) {
                fleetTracker.attribution().clear(worker);
            }
        }
        quarantinedWorkers = Set.copyOf(tick.faults().keySet());
        for (WorkerId worker : fleetTracker.attribution().suspectWorkers()) {
            Optional<String> reason = fleetTracker.attribution().workerFault(worker);
            if (reason.isEmpty() || tick.faults().containsKey(worker)) {
                continue;
            }
            WorkerFault fault = new WorkerFault(worker, reason.get());
            stage =
                    stage.thenCombine(
                            store.quarantine(tick.lease(), fault),
                            (current, done) -> {
                                current.faults().put(worker, fault.reason());
                                quarantinedWorkers = Set.copyOf(current.faults().keySet());
                                return current;
                            });
        }
        return stage;
    }

    private CompletionStage<Tick> schedule(Tick tick) {
        if (!config.isValid()) {
            return CompletableFuture.completedFuture(tick);
        }
        long now = time.nowMillis();
        List<JobChange> changes = new ArrayList<>();
        Set<JobId> changed = new HashSet<>();
        for (StoredJob stored : tick.jobs()) {
            endOrRequeue(stored, now)
                    .ifPresent(
                            change -> {
                                changes.add(change);
                                changed.add(stored.job().id());
                            });
        }
        List<StoredJob> rest =
                tick.jobs().stream().filter(job -> !changed.contains(job.job().id())).toList();
        JobPlan plan =
                JobScheduler.plan(
                        fleetTracker.snapshot(
                                config.snapshot(),
                                rest,
                                tick.limits(),
                                tick.faults().keySet(),
                                taskTracker,
                                now,
                                wallTime.nowMillis()));
        observeShares(plan, now);
        Set<WorkerId> probationStarts = new HashSet<>();
        for (JobPlan.Start start : plan.starts()) {
            boolean onProbation = fleetTracker.attribution().isOnProbation(start.worker());
            if (!onProbation || probationStarts.add(start.worker())) {
                changes.add(JobChange.start(start.job().stored(), start.worker()));
            }
        }
        for (JobPlan.Stop stop : plan.stops()) {
            changes.add(JobChange.stop(stop.job().stored(), stop.reason()));
            if (!stop.checkpointFirst()) {
                taskTracker.skipCheckpoint(stop.job().stored().job().task());
            }
        }
        for (JobPlan.Throttle throttle : plan.throttles()) {
            taskTracker.throttle(throttle.job().stored().job().task(), throttle.percent(), now);
        }
        return commitAll(tick, changes).thenApply(committed -> tick);
    }

    /**
     * Ends a queued job that can not run, and requeues a job whose attempt could not be started.
     */
    private Optional<JobChange> endOrRequeue(StoredJob stored, long nowMillis) {
        JobRow job = stored.job();
        if (job.state() == JobState.QUEUED) {
            return FleetTracker.unschedulableReason(job.spec(), config.snapshot())
                    .or(() -> fleetTracker.attribution().jobFault(job.id()))
                    .map(reason -> JobChange.endQueued(stored, JobState.SET_ASIDE, reason));
        }
        if (!job.state().holdsUnits() || taskTracker.report(job.task()).isPresent()) {
            return Optional.empty();
        }
        long assignedAt = assignedAtMillis.computeIfAbsent(job.task(), task -> nowMillis);
        boolean stopped = job.state() == JobState.STOPPING || job.cancelRequested();
        // A start whose response was lost may still take effect. Only a start on another worker,
        // with the same task id, reveals it.
        boolean due = taskTracker.isRefused(job.task()) && !stopped;
        if (!due && nowMillis - assignedAt < START_TIMEOUT_MILLIS) {
            return Optional.empty();
        }
        fleetTracker.recordRefusal(new WorkerId(job.worker()), nowMillis);
        return Optional.of(
                JobChange.revertStart(stored, "worker " + job.worker() + " did not start it"));
    }

    private void observeShares(JobPlan plan, long nowMillis) {
        Resources fleet = Resources.NONE;
        for (WorkerSnapshot worker : FleetTracker.workers(config.snapshot())) {
            fleet = fleet.plus(worker.capacity());
        }
        shareMeter.observe(nowMillis, fleet, plan.entitled(), plan.used());
        shareDistances = shareMeter.distances();
    }

    private CompletionStage<Tick> writeDemand(Tick tick) {
        long now = time.nowMillis();
        if (now - demandWrittenAtMillis < DEMAND_INTERVAL_MILLIS) {
            return CompletableFuture.completedFuture(tick);
        }
        demandWrittenAtMillis = now;
        Map<TeamId, Integer> wanted = new TreeMap<>();
        tick.limits().keySet().forEach(team -> wanted.put(team, 0));
        for (StoredJob stored : tick.jobs()) {
            JobSpec spec = stored.job().spec();
            wanted.computeIfPresent(spec.team(), (team, units) -> units + spec.slots());
        }
        wanted.replaceAll((team, units) -> Math.min(units, tick.limits().get(team).limit()));
        wanted.entrySet()
                .removeIf(
                        entry ->
                                tick.limits().get(entry.getKey()).block(LimitRow.JOBS).wanted()
                                        == entry.getValue());
        if (wanted.isEmpty() || !rateLimiter.tryAcquire(now)) {
            return CompletableFuture.completedFuture(tick);
        }
        return store.writeDemand(tick.lease(), wanted).thenApply(done -> tick);
    }

    /**
     * Commits changes in batches. The changes of a batch with a conflict are committed one by one.
     */
    private CompletionStage<List<JobChange>> commitAll(Tick tick, List<JobChange> changes) {
        CompletionStage<List<JobChange>> stage =
                CompletableFuture.completedFuture(new ArrayList<>());
        for (int from = 0; from < changes.size(); from += JOBS_PER_TRANSACTION) {
            List<JobChange> batch =
                    changes.subList(from, Math.min(changes.size(), from + JOBS_PER_TRANSACTION));
            stage = stage.thenCompose(committed -> commit(tick, batch, committed));
        }
        return stage;
    }

    private CompletionStage<List<JobChange>> commit(
            Tick tick, List<JobChange> batch, List<JobChange> committed) {
        if (!rateLimiter.tryAcquire(time.nowMillis())) {
            return CompletableFuture.completedFuture(committed);
        }
        return store.commit(tick.lease(), batch, this::declaredLimit)
                .thenCompose(
                        stored -> {
                            if (stored.isPresent()) {
                                tick.applyWritten(stored.get());
                                batch.forEach(tick::releaseUnits);
                                committed.addAll(batch);
                            } else if (batch.size() > 1) {
                                return commitIndividually(tick, batch, committed);
                            }
                            return CompletableFuture.completedFuture(committed);
                        });
    }

    private CompletionStage<List<JobChange>> commitIndividually(
            Tick tick, List<JobChange> batch, List<JobChange> committed) {
        CompletionStage<List<JobChange>> stage = CompletableFuture.completedFuture(committed);
        for (JobChange change : batch) {
            stage = stage.thenCompose(soFar -> commit(tick, List.of(change), soFar));
        }
        return stage;
    }

    private int declaredLimit(TeamId team) {
        return config.snapshot().team(team).map(spec -> spec.upperLimit()).orElse(0);
    }

    private void discardEnded(Tick tick) {
        Set<JobId> open = new HashSet<>();
        Set<TaskId> present = new HashSet<>();
        for (StoredJob stored : tick.jobs()) {
            open.add(stored.job().id());
            present.add(stored.job().task());
        }
        fleetTracker.retainJobs(open);
        assignedAtMillis.keySet().retainAll(present);
    }

    /** The rows that one tick works on, updated with what it commits. */
    private record Tick(
            Lease lease,
            Map<JobId, StoredJob> jobsById,
            Map<TeamId, LimitRow> limits,
            Map<WorkerId, String> faults) {
        private Tick(Lease lease, List<StoredJob> jobs, Map<TeamId, LimitRow> limits) {
            this(lease, new LinkedHashMap<>(), limits, new TreeMap<>());
            jobs.forEach(job -> jobsById.put(job.job().id(), job));
        }

        private Tick withFaults(Map<WorkerId, String> present) {
            return new Tick(lease, jobsById, limits, new TreeMap<>(present));
        }

        private List<StoredJob> jobs() {
            return List.copyOf(jobsById.values());
        }

        private void releaseUnits(JobChange change) {
            if (change.units() < 0) {
                limits.computeIfPresent(
                        change.after().spec().team(),
                        (team, limit) -> {
                            Block block = limit.block(LimitRow.JOBS);
                            int granted = Math.max(0, block.granted() + change.units());
                            return limit.withBlock(
                                    LimitRow.JOBS, new Block(granted, block.wanted()));
                        });
            }
        }

        private void applyWritten(Collection<StoredJob> committed) {
            for (StoredJob stored : committed) {
                if (stored.job().state().ended()) {
                    jobsById.remove(stored.job().id());
                } else {
                    jobsById.put(stored.job().id(), stored);
                }
            }
        }
    }
}
