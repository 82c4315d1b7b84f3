package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.WorkerId;
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
 * The owner's view of its fleet: jobs, tasks and workers, and what is ordered next.
 *
 * <p>A task is started only when no run of it can exist: a run ends with an end that its worker
 * lists, with the worker's own list that no longer holds it, or with the worker's lease. An order
 * without an answer may be carried out much later, so its run is stopped first: a worker that has
 * answered a stop never starts that run.
 *
 * <p>Times are milliseconds of one monotonic clock. Not safe for use by several threads.
 */
public final class FleetScheduler {
    /** A worker that starts may be listed before the list of instances shows it. */
    private static final long SILENCE_MILLIS = 250;

    private static final long AVOID_AFTER_REFUSAL_MILLIS = 300;

    private final FleetState fleet = new FleetState();
    private final RunTimeEstimator estimator = new RunTimeEstimator();
    private final JobLifecycle jobs;
    private final WorkerReports reports;
    private final StallDetector stalls;
    private final LateStarts lateStarts;
    private final Dispatcher dispatcher;
    private final PaceControl pacing;
    private FleetPolicy policy;
    private boolean inheritedHeld;

    /** The wall clock at the last plan. */
    private long epochMillis;

    /**
     * Creates a scheduler without jobs and workers.
     *
     * @param runBase run numbers of earlier owners are not above this one
     */
    public FleetScheduler(FleetPolicy policy, OrderSender orders, long runBase) {
        this.policy = policy;
        this.jobs = new JobLifecycle(fleet, orders, estimator, this::policy);
        this.reports = new WorkerReports(fleet, orders, jobs);
        this.stalls = new StallDetector(jobs);
        this.lateStarts = new LateStarts(orders);
        this.dispatcher =
                new Dispatcher(fleet, orders, lateStarts, new WaitingOrder(estimator), runBase);
        this.pacing = new PaceControl(orders);
    }

    /** Takes a newer configuration. */
    public void updatePolicy(FleetPolicy newer) {
        policy = newer;
    }

    /**
     * Adds a job, with what an earlier owner recorded of it.
     *
     * @param acceptedMillis when it was accepted, on this owner's clock
     */
    public void addJob(
            JobDefinition definition,
            Optional<JobProgress> recorded,
            long acceptedMillis,
            long nowMillis) {
        if (fleet.jobs.containsKey(definition.id())) {
            return;
        }
        JobRun job = new JobRun(definition, acceptedMillis);
        recorded.ifPresent(progress -> job.restore(progress, nowMillis));
        fleet.addJob(job);
    }

    /** Cancels a job; its tasks are stopped. */
    public void cancel(JobId id, long nowMillis) {
        JobRun job = fleet.jobs.get(id);
        if (job != null && !job.phase.isFinal()) {
            jobs.end(job, JobPhase.CANCELLED, nowMillis);
        }
    }

    /** The platform lists the worker, or its entry changed. */
    public void registerWorker(WorkerEntry entry, long nowMillis) {
        WorkerState known = fleet.workers.get(entry.id());
        if (known == null) {
            fleet.addWorker(new WorkerState(entry));
            lateStarts.newLife(entry.id(), nowMillis);
            return;
        }
        newLifeListed(known, entry.startedEpochMillis(), nowMillis);
        if (!known.entry.pool().equals(entry.pool())) {
            fleet.removeWorker(known);
            known.entry = entry;
            fleet.addWorker(known);
        }
        known.entry = entry;
        known.listed = true;
    }

    /** The platform no longer lists the worker. What runs on it may go on until its lease ends. */
    public void deregisterWorker(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.listed = false;
        }
    }

    /** Nothing runs on the worker any more and nothing will: it ended, or its lease is over. */
    public void releaseTasks(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker == null) {
            return;
        }
        List.copyOf(worker.tasks.values()).forEach(task -> jobs.release(task, nowMillis));
        worker.open = false;
        if (!worker.listed) {
            fleet.removeWorker(worker);
        }
    }

    /**
     * Holds back the tasks of all jobs that are known now: an earlier owner may have started them
     * on workers that have not answered this one.
     */
    public void holdRecoveredJobs() {
        fleet.jobs.values().forEach(job -> job.held = true);
        inheritedHeld = true;
    }

    /** Ends {@link #holdRecoveredJobs}. */
    public void releaseRecoveredJobs() {
        if (inheritedHeld) {
            inheritedHeld = false;
            fleet.jobs.values().forEach(job -> job.held = false);
        }
    }

    /** Whether the worker has answered this owner. */
    public boolean hasReported(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        return worker != null && worker.open;
    }

    /** Whether the instances of a pool are switched off. */
    public boolean isStandby(PoolId pool) {
        PoolPolicy pooled = policy.pools().get(pool);
        return pooled != null && pooled.standby();
    }

    /** Whether every known worker has answered this owner, and there are any. */
    public boolean allWorkersReported() {
        return !fleet.workers.isEmpty()
                && fleet.workers.values().stream().allMatch(worker -> worker.open);
    }

    /**
     * Takes the list of instances: a silent worker that no instance runs has ended. Its entry may
     * stand for some time, and a later owner would wait for it.
     *
     * @return the workers that have ended
     */
    public List<WorkerId> updateInstances(List<FleetInstance> instances, long nowMillis) {
        Set<WorkerId> running = new HashSet<>();
        for (FleetInstance instance : instances) {
            if (instance.up()) {
                instance.worker().ifPresent(running::add);
            }
            WorkerState worker = instance.worker().map(fleet.workers::get).orElse(null);
            if (worker != null) {
                worker.instance = instance.id();
            }
        }
        List<WorkerId> ended = new ArrayList<>();
        for (WorkerState worker : List.copyOf(fleet.workers.values())) {
            WorkerId id = worker.entry.id();
            if (worker.isSilentFor(SILENCE_MILLIS, nowMillis) && !running.contains(id)) {
                ended.add(id);
                removeWorker(id, nowMillis);
            }
        }
        return ended;
    }

    /** The worker's instance was taken down: nothing runs on it, and it does not come back. */
    public void removeWorker(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.listed = false;
            releaseTasks(id, nowMillis);
        }
    }

    /** Calls to the worker fail, or succeed again. */
    public void setUnresponsive(WorkerId id, boolean silent, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.silent = silent;
            worker.silentSinceMillis = nowMillis;
        }
    }

    /**
     * Takes a worker's lists.
     *
     * @param ends the ends that were not listed before
     * @param sentMillis when the call was sent that the worker answered
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
        newLifeReported(worker, report.startedEpochMillis(), sentMillis, nowMillis);
        if (!worker.open) {
            worker.open = true;
            lateStarts.newLife(id, nowMillis);
        }
        worker.silent = false;
        reports.take(worker, report, ends, sentMillis, nowMillis);
        stalls.check(worker, nowMillis);
        pacing.adjust(worker, nowMillis);
    }

    /** Takes the answer to a start. */
    public void startAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        if (answer != OrderAnswer.UNKNOWN) {
            lateStarts.answered(id, ref, run);
        }
        TrackedTask task = fleet.task(ref);
        if (task == null || task.run != run || !id.equals(task.worker)) {
            return;
        }
        if (answer == OrderAnswer.ACCEPTED) {
            if (task.state == TrackedTask.State.ORDERED) {
                task.enter(TrackedTask.State.RUNNING, nowMillis);
            }
            return;
        }
        if (answer == OrderAnswer.UNKNOWN) {
            if (task.state == TrackedTask.State.ORDERED) {
                jobs.stop(task, nowMillis);
            }
            return;
        }
        WorkerState worker = fleet.workers.get(id);
        if (worker != null && answer != OrderAnswer.OLD_RUN) {
            worker.avoidUntilMillis = nowMillis + AVOID_AFTER_REFUSAL_MILLIS;
        }
        if (task.state == TrackedTask.State.ORDERED || task.state == TrackedTask.State.STOPPING) {
            jobs.release(task, nowMillis);
        }
    }

    /** Takes the answer to a stop. */
    public void stopAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
        if (answer == OrderAnswer.ACCEPTED) {
            lateStarts.stopAnswered(id, ref, run);
        }
        TrackedTask task = fleet.task(ref);
        if (task != null
                && task.run == run
                && id.equals(task.worker)
                && task.state == TrackedTask.State.STOPPING
                && answer == OrderAnswer.ACCEPTED) {
            task.stopAnsweredMillis = nowMillis;
        }
    }

    /** Sends the orders that are due. */
    public void plan(long nowMillis, long epochMillis) {
        this.epochMillis = epochMillis;
        jobs.repeatStops(nowMillis);
        lateStarts.repeatStops(nowMillis);
        dispatcher.dispatch(policy, nowMillis, epochMillis);
    }

    /** What is to be recorded since the last call. */
    public List<JobProgress> takeChangedJobs() {
        return jobs.takeChanged();
    }

    /** Whether anything is to be recorded. */
    public boolean hasChangedJobs() {
        return jobs.hasChanged();
    }

    /** Jobs of each queue that have not begun, without those that wait for a due time. */
    public Map<QueueId, Integer> waitingJobs() {
        Map<QueueId, Integer> waiting = new HashMap<>();
        fleet.activePools().stream()
                .flatMap(pool -> fleet.activeJobs(pool).stream())
                .filter(job -> !job.hasBegun())
                .forEach(job -> waiting.merge(job.definition.queue(), 1, Integer::sum));
        return waiting;
    }

    /** Forgets a job whose rows are deleted. */
    public void removeJob(JobId id) {
        fleet.jobs.remove(id);
    }

    /** Access for the decisions on instances, which read and cordon workers. */
    FleetState fleet() {
        return fleet;
    }

    RunTimeEstimator estimator() {
        return estimator;
    }

    JobLifecycle jobs() {
        return jobs;
    }

    long epochMillis() {
        return epochMillis;
    }

    FleetPolicy policy() {
        return policy;
    }

    /**
     * A worker's entry tells of a new life. What runs in it only its own lists tell: a start may
     * have reached it before its entry was read.
     */
    private void newLifeListed(WorkerState worker, long startedEpochMillis, long nowMillis) {
        if (worker.startedEpochMillis == 0) {
            worker.startedEpochMillis = startedEpochMillis;
        } else if (startedEpochMillis > worker.startedEpochMillis) {
            worker.open = false;
            lateStarts.newLife(worker.entry.id(), nowMillis);
        }
    }

    /**
     * A worker's lists are of a new life, which runs nothing of the old one. A start that was
     * accepted after the lists were asked for may run in the new life, so it is stopped first.
     */
    private void newLifeReported(
            WorkerState worker, long startedEpochMillis, long sentMillis, long nowMillis) {
        if (startedEpochMillis <= worker.startedEpochMillis) {
            return;
        }
        boolean known = worker.startedEpochMillis != 0;
        worker.startedEpochMillis = startedEpochMillis;
        if (!known) {
            return;
        }
        worker.open = false;
        worker.failuresInRow = 0;
        lateStarts.newLife(worker.entry.id(), nowMillis);
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (task.state != TrackedTask.State.RUNNING) {
                continue;
            }
            if (task.sinceMillis < sentMillis) {
                jobs.release(task, nowMillis);
            } else {
                jobs.stop(task, nowMillis);
            }
        }
    }
}
