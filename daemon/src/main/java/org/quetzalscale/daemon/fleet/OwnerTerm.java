package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.lease.TermValidity;
import org.quetzalscale.core.schedule.FleetOverview;
import org.quetzalscale.core.schedule.FleetPolicy;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.schedule.FormerRuns;
import org.quetzalscale.core.schedule.OrderSender;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;
import org.tinylog.Logger;

/**
 * The term of an owner, from taking the lease until another instance takes it: loads what is
 * recorded, raises the fence of all workers and then schedules the fleet.
 */
final class OwnerTerm implements WorkerSession.Term, OrderSender {
    private static final long RETRY_DELAY_MILLIS = 100;

    private static final long PLAN_DELAY_MILLIS = 2;
    private static final long PLAN_INTERVAL_MILLIS = 100;

    /**
     * Pause between plans, as a multiple of the duration of the last one. It leaves most of a slow
     * processor's time to the renewal of the lease and to the reports of workers, each of which
     * requests a plan.
     */
    private static final long PLAN_PAUSE_FACTOR = 2;

    /** Rows of a snapshot that are decoded in one turn of the loop. */
    private static final int ROWS_PER_TURN = 100;

    private static final long MAX_JOB_AGE_MILLIS = 600_000;

    /**
     * Exceeds the number of starts that an owner orders of one task between two renewals of its
     * lease, so that the run numbers of a later owner are higher.
     */
    private static final long RUNS_PER_GENERATION = 1_000;

    private final FleetContext context;
    private final LoopClock clock;
    private final OrderGate gate;
    private final TermValidity validity;
    private final SiblingPoll siblingPoll;
    private final PolicyWatcher policies;
    private final Lease lease;
    private final FleetScheduler scheduler;
    private final FleetOverview overview;
    private final JobRows jobRows;
    private final JobFeed jobFeed;
    private final EndedJobs endedJobs;
    private final EndedJobHistory endedHistory;
    private final ProgressRecorder recorder;
    private final InstanceController instanceController;
    private final WaitingCounts waitingCounts;
    private final Runnable onFenced;
    private final Map<WorkerId, WorkerSession> sessions = new LinkedHashMap<>();
    private final WorkerDirectory workers;
    private final long startMillis;
    private boolean ended;
    private boolean scheduling;
    private boolean planPending;
    private long lastPlanMillis;

    OwnerTerm(
            FleetContext services,
            PolicyWatcher policies,
            Lease lease,
            TermValidity validity,
            Runnable onFenced) {
        this.clock = services.clock();
        this.gate =
                new OrderGate(
                        services.table(),
                        clock,
                        lease.fence(),
                        validity,
                        this,
                        policies::readEvacuatedZones);
        this.validity = validity;
        this.siblingPoll = new SiblingPoll(clock, services.siblings(), validity, this);
        this.context =
                services.withCalls(
                        new GatedWorkerCalls(services.calls(), gate),
                        new GatedInstanceCalls(services.instances(), gate));
        this.policies = policies;
        this.lease = lease;
        this.onFenced = onFenced;
        this.startMillis = clock.nowMillis();
        this.scheduler =
                new FleetScheduler(
                        policies.current().orElseThrow(),
                        this,
                        lease.generation() * RUNS_PER_GENERATION,
                        services.looksAhead());
        scheduler.setCrashListener(new CrashLogger());
        scheduler.updateEvacuatedZones(policies.evacuatedZones());
        scheduler.setReservationListener(new ReservationLogger(context.metrics()));
        this.overview = new FleetOverview(scheduler);
        this.workers = new WorkerDirectory(context, this, sessions, lease.fence().version());
        this.jobRows = new JobRows(context.table());
        this.jobFeed = new JobFeed(context.table(), clock, this, jobRows, this::applyChangedRow);
        this.endedJobs =
                new EndedJobs(
                        context.table(),
                        clock,
                        lease.fence(),
                        this,
                        context.times().statusRetention());
        this.endedHistory = new EndedJobHistory(clock, this);
        this.recorder =
                new ProgressRecorder(
                        context.table(),
                        clock,
                        lease.fence(),
                        scheduler,
                        sessions,
                        context.metrics(),
                        endedJobs::add,
                        onFenced);
        this.waitingCounts = new WaitingCounts(context, lease.fence(), this, overview);
        this.instanceController = new InstanceController(context, policies, lease, this, sessions);
    }

    /**
     * Loads jobs, then their progress, and meanwhile renews the leases of the workers: the renewals
     * of the former owner have ended, and on a weak instance the jobs may take longer to load than
     * a lease lasts. Progress is read after the jobs, so it is not older than they are. The
     * evacuated zones are read as well: the feed of this instance may be behind.
     */
    void start() {
        if (ended) {
            return;
        }
        Logger.info("event=term_begins fence={}", fence());
        gate.start();
        siblingPoll.start();
        workers.start();
        load();
    }

    void stop() {
        ended = true;
        gate.stop();
        recorder.stop();
        context.metrics().lastingTasksInEvacuatedZones(0);
        context.metrics().rates(Map.of());
        Logger.info("event=term_ends fence={}", fence());
    }

    /**
     * Records a renewal of the lease.
     *
     * @param askedMillis when it was sent
     */
    void confirm(long askedMillis) {
        validity.confirm(askedMillis);
    }

    void updatePolicy(FleetPolicy policy) {
        scheduler.updatePolicy(policy);
        planSoon();
    }

    void updateEvacuatedZones(Set<ZoneId> zones) {
        scheduler.updateEvacuatedZones(zones);
        planSoon();
    }

    long fence() {
        return lease.fence().version();
    }

    /** How long this instance has owned the fleet, in milliseconds. */
    long ageMillis() {
        return clock.nowMillis() - startMillis;
    }

    FleetOverview overview() {
        return overview;
    }

    /** Adds waves and moves to the status for operators. */
    void describeInstances(ObjectNode node) {
        instanceController.describe(node);
    }

    @Override
    public FleetScheduler scheduler() {
        return scheduler;
    }

    @Override
    public boolean ended() {
        return ended;
    }

    @Override
    public boolean jobsLoaded() {
        return scheduling;
    }

    @Override
    public long pauses() {
        return gate.pauses();
    }

    @Override
    public void fenced(String by) {
        if (!ended) {
            Logger.warn("event=fenced by={} fence={}", by, fence());
            onFenced.run();
        }
    }

    @Override
    public void planSoon() {
        if (!planPending && scheduling && !ended) {
            planPending = true;
            clock.after(PLAN_DELAY_MILLIS + PLAN_PAUSE_FACTOR * lastPlanMillis, this::plan);
        }
    }

    @Override
    public void start(WorkerId worker, StartOrder order) {
        WorkerSession session = sessions.get(worker);
        if (session != null) {
            session.send(order);
        }
    }

    @Override
    public void stop(WorkerId worker, TaskRef task, long run) {
        WorkerSession session = sessions.get(worker);
        if (session != null) {
            Logger.info("event=stop task={} run={} worker={}", task, run, worker);
            session.stop(task, run);
        }
    }

    @Override
    public void pace(WorkerId worker, TaskRef task, long run, int percent) {
        WorkerSession session = sessions.get(worker);
        if (session != null) {
            Logger.info("event=pace task={} worker={} percent={}", task, worker, percent);
            session.pace(task, run, percent);
        }
    }

    private void load() {
        if (ended) {
            return;
        }
        policies.readEvacuatedZones()
                .thenCompose(ignored -> jobRows.read())
                .thenCompose(
                        jobs ->
                                context.table()
                                        .scan(FleetRows.PROGRESS_PREFIX)
                                        .thenAccept(progress -> startScheduling(jobs, progress)))
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                clock.reportError(failure);
                                Logger.warn("event=load_failed cause=\"{}\"", failure.getMessage());
                                clock.after(RETRY_DELAY_MILLIS, this::load);
                            }
                        });
    }

    private void startScheduling(RowSnapshot jobs, List<Row> progressRows) {
        if (ended || scheduling) {
            return;
        }
        RecordedProgress recorded = RecordedProgress.of(progressRows);
        recorder.addRecorded(recorded);
        addJobs(jobs, 0, recorded);
    }

    /**
     * Adds the jobs of a snapshot in several turns of the loop, between which the lease is renewed.
     */
    private void addJobs(RowSnapshot jobs, int fromIndex, RecordedProgress recorded) {
        int toIndex = Math.min(jobs.rows().size(), fromIndex + ROWS_PER_TURN);
        for (Row row : jobs.rows().subList(fromIndex, toIndex)) {
            applyJobRow(row.key(), row.version(), row.value(), recorded);
        }
        if (ended) {
            return;
        }
        if (toIndex < jobs.rows().size()) {
            clock.after(0, () -> addJobs(jobs, toIndex, recorded));
            return;
        }
        scheduling = true;
        scheduler.holdRecoveredJobs();
        Logger.info(
                "event=jobs_loaded rows={} progress={} ms={}",
                jobs.rows().size(),
                recorded.progress().size(),
                clock.nowMillis() - startMillis);
        jobFeed.watch(jobs.version());
        workers.jobsLoaded();
        planPeriodically();
        waitingCounts.start();
        instanceController.start();
        endedJobs.deletePeriodically();
        endedHistory.decode();
    }

    private void applyJobRow(RowKey key, long version, String value, RecordedProgress recorded) {
        if (!ended) {
            StoreFailures.applyOrLog(key, () -> applyValidRow(key, version, value, recorded));
        }
    }

    private void applyChangedRow(RowKey key, long version, String value) {
        applyJobRow(key, version, value, RecordedProgress.NONE);
    }

    private void applyValidRow(RowKey key, long version, String value, RecordedProgress recorded) {
        if (key.equals(FleetRows.OWNER)) {
            if (version > fence()) {
                fenced("store");
            }
            return;
        }
        Optional<JobId> id = FleetRows.jobOf(key);
        if (id.isEmpty() || endedJobs.contains(id.get())) {
            return;
        }
        Optional<JobProgress> known = recorded.of(id.get());
        if (known.filter(progress -> progress.phase().isFinal()).isPresent()) {
            endedJobs.add(id.get());
            endedHistory.add(key, version, value);
            return;
        }
        if (FleetRows.isCancellation(key)) {
            cancel(id.get());
            return;
        }
        Optional<JobDefinition> job =
                StoreFailures.decodeOrLog(key, () -> JobRowCodecs.DEFINITION.decode(value));
        if (job.isEmpty()) {
            return;
        }
        long now = clock.nowMillis();
        long age =
                scheduling ? 0 : clock.epochMillis().getAsLong() - job.get().acceptedEpochMillis();
        addJob(job.get(), recorded, now - Math.max(0, Math.min(MAX_JOB_AGE_MILLIS, age)), now);
    }

    /**
     * Cancels a job. A cancellation without a job is one of a submission that was not recorded, and
     * is kept as long as an ended job.
     */
    private void cancel(JobId id) {
        if (!scheduler.cancel(id, clock.nowMillis())) {
            endedJobs.add(id);
        }
    }

    /**
     * Adds a job with what is recorded of it. A job with a record that cannot be read, or that does
     * not fit its definition, is held: started from the beginning, it would repeat work.
     */
    private void addJob(
            JobDefinition job, RecordedProgress recorded, long acceptedMillis, long nowMillis) {
        boolean readable = !recorded.unreadable().contains(job.id());
        try {
            scheduler.addJob(job, recorded.of(job.id()), acceptedMillis, nowMillis);
        } catch (IndexOutOfBoundsException e) {
            readable = false;
            RecordedProgress.logUnreadable(job.id(), FleetRows.progress(job.id()), e);
            scheduler.addJob(job, Optional.empty(), acceptedMillis, nowMillis);
        }
        try {
            recorded.whileUnreadable(job.id())
                    .ifPresent(progress -> scheduler.restore(progress, nowMillis));
        } catch (IndexOutOfBoundsException e) {
            readable = false;
            RecordedProgress.logUnreadable(
                    job.id(), FleetRows.progressWhileUnreadable(job.id()), e);
        }
        if (!readable) {
            scheduler.holdUnreadableJob(job.id());
        }
    }

    /**
     * Gives the fleet to another instance if the reader of the jobs has stopped for any reason: the
     * renewals of the lease would go on, and keep it from those who could serve.
     */
    private void endIfReaderStopped(long nowMillis) {
        if (jobFeed.hasStopped(nowMillis)) {
            Logger.error("event=reader_stopped reader=jobs fence={}", fence());
            onFenced.run();
        }
    }

    private void planPeriodically() {
        if (ended) {
            return;
        }
        clock.after(
                PLAN_INTERVAL_MILLIS + PLAN_PAUSE_FACTOR * lastPlanMillis, this::planPeriodically);
        plan();
    }

    private void plan() {
        planPending = false;
        if (ended) {
            return;
        }
        long now = clock.nowMillis();
        endIfReaderStopped(now);
        if (ended) {
            return;
        }
        releaseRecoveredJobs(now);
        if (gate.isOpen()) {
            scheduler.plan(now, clock.epochMillis().getAsLong());
        }
        context.metrics().lastingTasksInEvacuatedZones(scheduler.lastingTasksInEvacuatedZones());
        recorder.flush();
        lastPlanMillis = clock.nowMillis() - now;
    }

    /** Starts the jobs of earlier terms once no run of an earlier owner can be unnoticed. */
    private void releaseRecoveredJobs(long nowMillis) {
        if (!scheduler.holdsRecoveredJobs()) {
            return;
        }
        FormerRuns.Verdict verdict = formerRuns(nowMillis).verdict();
        if (verdict != FormerRuns.Verdict.HOLD) {
            scheduler.releaseRecoveredJobs();
            Logger.info(
                    "event=recovered_jobs_released reason={} ms={} unreported=\"{}\"",
                    verdict.name().toLowerCase(Locale.ROOT),
                    nowMillis - startMillis,
                    instanceController.describeUnlisted());
        }
    }

    private FormerRuns formerRuns(long nowMillis) {
        boolean leasesExpired =
                nowMillis - startMillis >= WorkerLease.formerBoundMillis()
                        && sessions.values().stream().allMatch(s -> s.formerRunsKnown(nowMillis));
        return new FormerRuns(
                workers.allCalled(),
                scheduler.allRunsListed(),
                instanceController.allRunsListed(),
                leasesExpired);
    }
}
