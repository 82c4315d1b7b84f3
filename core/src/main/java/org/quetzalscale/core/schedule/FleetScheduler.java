package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.instance.FleetInstance;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;

/**
 * Schedules the tasks of a fleet: tracks jobs, tasks and workers, and decides which orders to send.
 *
 * <p>A task is started only when no earlier run of it can still exist. A run has ended when its
 * worker reports the end, when the worker's report no longer lists the run, or when the worker's
 * lease expires. A start without an answer may be carried out much later, so its run is stopped
 * first: a worker that has answered a stop never starts that run.
 *
 * <p>Times are milliseconds of one monotonic clock. This class is not thread-safe.
 */
public final class FleetScheduler {
    private final FleetState fleet = new FleetState();
    private final RunTimeEstimator estimator = new RunTimeEstimator();
    private final ExcessMarks excess = new ExcessMarks();
    private final JobLifecycle jobs;
    private final WorkerReportHandler reportHandler;
    private final CrashAttribution crashAttribution;
    private final EndedWorkers endedWorkers = new EndedWorkers(fleet);
    private final OrderAnswers orderAnswers;
    private final WorkerIncarnations incarnations;
    private final StallDetector stallDetector;
    private final UnansweredStarts unansweredStarts;
    private final Dispatcher dispatcher;
    private final PaceControl paceControl;
    private final ZoneEvacuation zoneEvacuation;
    private FleetPolicy policy;

    /** Wall clock in Unix milliseconds at the last call of {@link #plan}. */
    private long epochMillis;

    /** Creates a scheduler whose placement does not look ahead. */
    public FleetScheduler(FleetPolicy policy, OrderSender orders, long runBase) {
        this(policy, orders, runBase, LookAhead.NONE);
    }

    /**
     * Creates a scheduler without jobs or workers.
     *
     * @param runBase the highest run number that an earlier owner may have used
     * @param looksAhead whether steps that do not fit get a reservation, and jobs are selected at
     *     overload
     */
    public FleetScheduler(
            FleetPolicy policy, OrderSender orders, long runBase, boolean looksAhead) {
        this(policy, orders, runBase, looksAhead ? LookAhead.FIRST_STEP : LookAhead.NONE);
    }

    FleetScheduler(FleetPolicy policy, OrderSender orders, long runBase, LookAhead lookAhead) {
        this.policy = policy;
        excess.updatePolicy(policy);
        this.jobs = new JobLifecycle(fleet, orders, estimator, this::policy);
        this.reportHandler = new WorkerReportHandler(fleet, orders, jobs);
        this.crashAttribution = new CrashAttribution(jobs);
        this.stallDetector = new StallDetector(jobs);
        this.unansweredStarts = new UnansweredStarts(orders);
        this.orderAnswers = new OrderAnswers(fleet, jobs, unansweredStarts);
        this.incarnations = new WorkerIncarnations(jobs, crashAttribution, unansweredStarts);
        this.dispatcher =
                new Dispatcher(
                        fleet,
                        orders,
                        unansweredStarts,
                        new StepRanking(estimator),
                        new ExcessRanking(fleet, excess),
                        new RunForecast(estimator),
                        lookAhead,
                        runBase);
        this.paceControl = new PaceControl(orders);
        this.zoneEvacuation = new ZoneEvacuation(fleet, jobs);
    }

    /** Reports crashes of workers to the listener from now on. */
    public void setCrashListener(CrashListener listener) {
        crashAttribution.setListener(listener);
    }

    /** Reports reservations of capacity to the listener from now on. */
    public void setReservationListener(ReservationListener listener) {
        dispatcher.setReservationListener(listener);
    }

    /** Replaces the configuration with a newer version. */
    public void updatePolicy(FleetPolicy newPolicy) {
        policy = newPolicy;
        excess.updatePolicy(newPolicy);
    }

    /**
     * Replaces the set of zones that operators evacuate. From then on no task is started on their
     * workers, and {@link #plan} restarts lasting tasks in other zones.
     */
    public void updateEvacuatedZones(Set<ZoneId> zones) {
        fleet.setEvacuatedZones(zones);
    }

    /** Whether operators evacuate the zone, so that starts that are still queued are not sent. */
    public boolean isEvacuated(ZoneId zone) {
        return fleet.isEvacuated(zone);
    }

    /** The number of lasting tasks that are still on workers of evacuated zones. */
    public int lastingTasksInEvacuatedZones() {
        return zoneEvacuation.lastingTasksLeft().size();
    }

    /**
     * Adds a job with the progress that an earlier owner recorded. Does nothing if the job is
     * known.
     *
     * @param acceptedMillis when the job was accepted, on this owner's monotonic clock
     * @throws IndexOutOfBoundsException if the progress does not fit the definition
     */
    public void addJob(
            JobDefinition definition,
            Optional<JobProgress> recorded,
            long acceptedMillis,
            long nowMillis) {
        if (fleet.jobs.containsKey(definition.id())) {
            return;
        }
        JobRun job = new JobRun(definition, acceptedMillis, fleet.openTasks);
        recorded.ifPresent(progress -> restore(job, progress, nowMillis));
        fleet.addJob(job);
        excess.add(definition);
        if (!job.phase.isFinal()) {
            job.occurrences.openDueBy(epochMillis + PoolDemand.LEAD_MILLIS);
        }
        endIfDone(job, nowMillis);
    }

    /**
     * Acceptance time of the first job that counts against a rate in Unix milliseconds, at most the
     * given time; empty if no organisation declares a rate.
     */
    public Optional<Long> firstAcceptedEpochMillis(long atMostEpochMillis) {
        return excess.firstEpochMillis(atMostEpochMillis);
    }

    /**
     * Adds a job that ended before this owner's term: it counts against the rate of its
     * organisation.
     */
    public void addEndedJob(JobDefinition definition) {
        excess.add(definition);
    }

    /**
     * Adds another record of an earlier owner to the progress of a known job. The job ends if both
     * records together contain all tasks.
     */
    public void restore(JobProgress recorded, long nowMillis) {
        JobRun job = fleet.jobs.get(recorded.job());
        if (job == null || job.phase.isFinal()) {
            return;
        }
        job.restore(recorded, nowMillis);
        endIfDone(job, nowMillis);
    }

    private static void restore(JobRun job, JobProgress recorded, long nowMillis) {
        try {
            job.restore(recorded, nowMillis);
        } catch (IndexOutOfBoundsException e) {
            job.occurrences.closeAll();
            throw e;
        }
    }

    private void endIfDone(JobRun job, long nowMillis) {
        if (!job.phase.isFinal() && job.allDone()) {
            jobs.endJob(job, JobPhase.COMPLETED, nowMillis);
        }
    }

    /**
     * Suspends the starts of a job for as long as this owner lasts, because its recorded progress
     * cannot be read. Its runs go on, and their ends count.
     */
    public void holdUnreadableJob(JobId id) {
        fleet.jobs.get(id).progressUnreadable = true;
    }

    /** Whether {@link #holdUnreadableJob} suspended the job. */
    public boolean isUnreadableJob(JobId id) {
        JobRun job = fleet.jobs.get(id);
        return job != null && job.progressUnreadable;
    }

    /** Cancels a job and stops its tasks, unless it has ended. Returns whether the job is known. */
    public boolean cancel(JobId id, long nowMillis) {
        JobRun job = fleet.jobs.get(id);
        if (job != null && !job.phase.isFinal()) {
            jobs.endJob(job, JobPhase.CANCELLED, nowMillis);
        }
        return job != null;
    }

    /** Adds a worker that the platform lists, or updates its entry. */
    public void registerWorker(WorkerEntry entry, long nowMillis) {
        WorkerState known = fleet.workers.get(entry.id());
        if (known == null) {
            WorkerState added = new WorkerState(entry);
            added.updateEntry(entry, nowMillis);
            added.heardMillis = nowMillis;
            fleet.addWorker(added);
            unansweredStarts.stopAll(entry.id(), nowMillis);
            return;
        }
        incarnations.handleRegistered(known, entry.startedEpochMillis(), nowMillis);
        if (!known.entry.pool().equals(entry.pool())) {
            fleet.removeWorker(known);
            known.updateEntry(entry, nowMillis);
            fleet.addWorker(known);
        }
        known.updateEntry(entry, nowMillis);
        fleet.updateEvacuation(known);
        known.registered = true;
    }

    /**
     * Marks a worker that the platform no longer lists. Its tasks may run on until its lease
     * expires.
     */
    public void deregisterWorker(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.registered = false;
        }
    }

    /** Releases the tasks of a worker that has ended without notice. */
    public void workerEnded(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            crashAttribution.recordCrash(worker, nowMillis);
            releaseTasks(id, nowMillis);
        }
    }

    /** Releases the tasks of a worker whose lease has expired: it may have ended, or be cut off. */
    public void releaseTasks(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker == null) {
            return;
        }
        List.copyOf(worker.tasks.values()).forEach(task -> jobs.release(task, nowMillis));
        worker.forgetReports();
        if (!worker.registered) {
            fleet.removeWorker(worker);
        }
    }

    /**
     * Suspends the starts of all jobs that are known now. An earlier owner may have started their
     * tasks on workers that have not reported to this owner yet.
     */
    public void holdRecoveredJobs() {
        fleet.jobs.values().forEach(job -> job.held = true);
        fleet.recoveredJobsHeld = true;
    }

    /** Whether jobs are suspended by {@link #holdRecoveredJobs}. */
    public boolean holdsRecoveredJobs() {
        return fleet.recoveredJobsHeld;
    }

    /** Resumes the jobs that {@link #holdRecoveredJobs} suspended. */
    public void releaseRecoveredJobs() {
        if (fleet.recoveredJobsHeld) {
            fleet.recoveredJobsHeld = false;
            fleet.jobs.values().forEach(job -> job.held = false);
        }
    }

    /** Whether the worker has reported to this owner in its current incarnation. */
    public boolean hasReported(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        return worker != null && worker.reported;
    }

    /**
     * Whether all runs that earlier owners started on the worker are known: it has reported in its
     * current incarnation, and has listed all ends that were not acknowledged.
     */
    public boolean hasListedRuns(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        return worker != null && worker.endsListed;
    }

    /** Whether the worker is known and has reported to a call that was sent after the time. */
    boolean hasReportedAfter(WorkerId id, long sinceMillis) {
        WorkerState worker = fleet.workers.get(id);
        return worker != null && worker.reported && worker.reportRequestedMillis > sinceMillis;
    }

    /** Whether the pool is a standby pool, whose instances are switched off. */
    public boolean isStandby(PoolId pool) {
        PoolPolicy poolPolicy = policy.pools().get(pool);
        return poolPolicy != null && poolPolicy.standby();
    }

    /** Whether at least one worker is known and all runs of every known one are. */
    public boolean allRunsListed() {
        return !fleet.workers.isEmpty()
                && fleet.workers.values().stream().allMatch(worker -> worker.endsListed);
    }

    /**
     * Updates the instances of the workers. An unresponsive worker that no instance runs has ended,
     * unless the list may show a state from before its last answer. Its entry may remain for some
     * time, and a later owner would wait for that worker.
     *
     * @param requestedMillis when the list was requested
     * @return workers that have ended
     */
    public List<WorkerId> updateInstances(
            List<FleetInstance> instances, long requestedMillis, long nowMillis) {
        List<WorkerId> ids = new ArrayList<>();
        for (EndedWorkers.Ended ended : endedWorkers.find(instances, requestedMillis, nowMillis)) {
            if (!ended.ordered()) {
                crashAttribution.recordCrash(ended.worker(), nowMillis);
            }
            WorkerId id = ended.worker().entry.id();
            removeWorker(id, nowMillis);
            ids.add(id);
        }
        return ids;
    }

    /**
     * Removes a worker whose instance was taken down. Nothing runs on it and it does not return.
     */
    public void removeWorker(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.registered = false;
            releaseTasks(id, nowMillis);
        }
    }

    /** Records whether calls to the worker fail. */
    public void setUnresponsive(WorkerId id, boolean unresponsive, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.unresponsive = unresponsive;
            worker.unresponsiveSinceMillis = nowMillis;
        }
    }

    /**
     * Updates tasks and runs from a worker's report.
     *
     * @param ends ended runs that were not in an earlier report
     * @param sentMillis when the call that returned the report was sent
     */
    public void handleReport(
            WorkerId id,
            WorkerReport report,
            List<FinishedRun> ends,
            long sentMillis,
            long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker == null) {
            return;
        }
        incarnations.handleReported(worker, report.startedEpochMillis(), sentMillis, nowMillis);
        if (!worker.reported) {
            unansweredStarts.stopAll(id, nowMillis);
        }
        worker.unresponsive = false;
        worker.heardMillis = nowMillis;
        worker.reportRequestedMillis = sentMillis;
        reportHandler.apply(worker, report, ends, sentMillis, nowMillis);
        worker.reported = true;
        worker.endsListed |= report.allFinished();
        stallDetector.check(worker, nowMillis);
        paceControl.adjust(worker, nowMillis);
    }

    /** Handles the answer to a start order. */
    public void startAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        orderAnswers.startAnswered(id, ref, run, answer, nowMillis);
    }

    /** Handles the answer to a stop order. */
    public void stopAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        orderAnswers.stopAnswered(id, ref, run, answer, nowMillis);
    }

    /** Sends all orders that are due now: repeated stops and new starts. */
    public void plan(long nowMillis, long epochMillis) {
        this.epochMillis = epochMillis;
        jobs.resendStops(nowMillis);
        unansweredStarts.resendStops(nowMillis);
        zoneEvacuation.stopLastingTasks(nowMillis);
        dispatcher.dispatch(policy, nowMillis, epochMillis);
    }

    /** Returns the progress of all jobs that changed since the last call. */
    public List<JobProgress> takeChangedJobs() {
        return jobs.takeChangedJobs();
    }

    /** Whether any job changed since the last call of {@link #takeChangedJobs}. */
    public boolean hasChangedJobs() {
        return jobs.hasChangedJobs();
    }

    /** The number of unstarted jobs of each queue. */
    public Map<QueueId, Integer> waitingJobs() {
        Map<QueueId, Integer> waiting = new HashMap<>();
        fleet.activePools().stream()
                .flatMap(pool -> fleet.activeJobs(pool).stream())
                .filter(job -> !job.hasStarted())
                .forEach(job -> waiting.merge(job.definition.queue(), 1, Integer::sum));
        return waiting;
    }

    /** About how much memory the definitions of all known jobs take. */
    public long jobBytes() {
        return fleet.jobBytes();
    }

    /** Removes a job whose rows were deleted. */
    public void removeJob(JobId id) {
        fleet.removeJob(id);
        excess.remove(id);
    }

    /**
     * The state that the planners for moves and maintenance read, and in which they cordon workers.
     */
    FleetState fleet() {
        return fleet;
    }

    RunTimeEstimator estimator() {
        return estimator;
    }

    JobLifecycle jobs() {
        return jobs;
    }

    ExcessMarks excess() {
        return excess;
    }

    long epochMillis() {
        return epochMillis;
    }

    FleetPolicy policy() {
        return policy;
    }
}
