package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.InstanceId;
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
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.RunningTask;
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
    /** A worker lists at most this many ends at once; others are then missing from both lists. */
    private static final int MAX_LISTED_ENDS = 500;

    private static final long STOP_RETRY_MILLIS = 400;
    private static final long AVOID_AFTER_REFUSAL_MILLIS = 300;
    private static final long LASTING_RETRY_MILLIS = 100;
    private static final long MAX_LASTING_RETRY_MILLIS = 800;
    private static final int DEFAULT_MAX_ATTEMPTS = 3;

    private final FleetState fleet = new FleetState();
    private final RunTimeEstimator estimator = new RunTimeEstimator();
    private final Set<JobRun> changed = new LinkedHashSet<>();
    private final Orders orders;
    private final Dispatcher dispatcher;
    private final PaceControl pacing;
    private FleetPolicy policy;
    private boolean inheritedHeld;

    /**
     * Creates a scheduler without jobs and workers.
     *
     * @param runBase run numbers of earlier owners are not above this one
     */
    public FleetScheduler(FleetPolicy policy, Orders orders, long runBase) {
        this.policy = policy;
        this.orders = orders;
        this.dispatcher = new Dispatcher(fleet, orders, new WaitingOrder(estimator), runBase);
        this.pacing = new PaceControl(orders);
    }

    /** Takes a newer configuration. */
    public void policy(FleetPolicy newer) {
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
            end(job, JobPhase.CANCELLED, nowMillis);
        }
    }

    /** The platform lists the worker, or its entry changed. */
    public void listed(WorkerEntry entry, long nowMillis) {
        WorkerState known = fleet.workers.get(entry.id());
        if (known == null) {
            fleet.addWorker(new WorkerState(entry));
            return;
        }
        incarnation(known, entry.bornEpochMillis(), nowMillis);
        if (!known.entry.pool().equals(entry.pool())) {
            fleet.removeWorker(known);
            known.entry = entry;
            fleet.addWorker(known);
        }
        known.entry = entry;
        known.listed = true;
    }

    /** The platform no longer lists the worker. What runs on it may go on until its lease ends. */
    public void unlisted(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.listed = false;
        }
    }

    /** Nothing runs on the worker any more and nothing will: it ended, or its lease is over. */
    public void emptied(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker == null) {
            return;
        }
        List.copyOf(worker.tasks.values()).forEach(task -> release(task, nowMillis));
        worker.open = false;
        if (!worker.listed) {
            fleet.removeWorker(worker);
        }
    }

    /**
     * Holds back the tasks of all jobs that are known now: an earlier owner may have started them
     * on workers that have not answered this one.
     */
    public void holdInherited() {
        fleet.jobs.values().forEach(job -> job.held = true);
        inheritedHeld = true;
    }

    /** Ends {@link #holdInherited}. */
    public void releaseInherited() {
        if (inheritedHeld) {
            inheritedHeld = false;
            fleet.jobs.values().forEach(job -> job.held = false);
        }
    }

    /** Whether the worker has answered this owner. */
    public boolean isOpen(WorkerId id) {
        WorkerState worker = fleet.workers.get(id);
        return worker != null && worker.open;
    }

    /** Whether the instances of a pool are switched off. */
    public boolean isStandby(PoolId pool) {
        PoolPolicy pooled = policy.pools().get(pool);
        return pooled != null && pooled.standby();
    }

    /** Whether every known worker has answered this owner, and there are any. */
    public boolean allWorkersOpen() {
        return !fleet.workers.isEmpty()
                && fleet.workers.values().stream().allMatch(worker -> worker.open);
    }

    /**
     * Takes the list of instances: a silent worker whose instance no longer runs it has ended.
     *
     * @return the workers that have ended
     */
    public List<WorkerId> instances(List<FleetInstance> instances, long nowMillis) {
        Map<InstanceId, FleetInstance> byId = new HashMap<>();
        for (FleetInstance instance : instances) {
            byId.put(instance.id(), instance);
            WorkerState worker = instance.worker().map(fleet.workers::get).orElse(null);
            if (worker != null) {
                worker.instance = instance.id();
            }
        }
        List<WorkerId> ended = new ArrayList<>();
        for (WorkerState worker : List.copyOf(fleet.workers.values())) {
            if (!worker.silent || worker.instance == null) {
                continue;
            }
            FleetInstance instance = byId.get(worker.instance);
            boolean runs =
                    instance != null
                            && instance.up()
                            && instance.worker().filter(worker.entry.id()::equals).isPresent();
            if (!runs) {
                ended.add(worker.entry.id());
                ended(worker.entry.id(), nowMillis);
            }
        }
        return ended;
    }

    /** The worker's instance was taken down: nothing runs on it, and it does not come back. */
    public void ended(WorkerId id, long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.listed = false;
            emptied(id, nowMillis);
        }
    }

    /** Calls to the worker fail, or succeed again. */
    public void silent(WorkerId id, boolean silent) {
        WorkerState worker = fleet.workers.get(id);
        if (worker != null) {
            worker.silent = silent;
        }
    }

    /**
     * Takes a worker's lists.
     *
     * @param ends the ends that were not listed before
     * @param sentMillis when the call was sent that the worker answered
     */
    public void reported(
            WorkerId id,
            WorkerReport report,
            List<FinishedRun> ends,
            long sentMillis,
            long nowMillis) {
        WorkerState worker = fleet.workers.get(id);
        if (worker == null) {
            return;
        }
        incarnation(worker, report.bornEpochMillis(), nowMillis);
        worker.open = true;
        worker.silent = false;
        worker.strays.clear();
        Set<TaskRef> listed = new HashSet<>();
        for (FinishedRun end : ends) {
            listed.add(end.task());
            ended(worker, end, nowMillis);
        }
        for (RunningTask running : report.running()) {
            listed.add(running.task());
            running(worker, running, nowMillis);
        }
        if (report.finished().size() < MAX_LISTED_ENDS) {
            releaseMissing(worker, listed, sentMillis, nowMillis);
        }
        pacing.adjust(worker, nowMillis);
    }

    /** Takes the answer to a start. */
    public void startAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
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
                stop(task, nowMillis);
            }
            return;
        }
        WorkerState worker = fleet.workers.get(id);
        if (worker != null && answer != OrderAnswer.OLD_RUN) {
            worker.avoidUntilMillis = nowMillis + AVOID_AFTER_REFUSAL_MILLIS;
        }
        if (task.state == TrackedTask.State.ORDERED || task.state == TrackedTask.State.STOPPING) {
            release(task, nowMillis);
        }
    }

    /** Takes the answer to a stop. */
    public void stopAnswered(
            WorkerId id, TaskRef ref, long run, OrderAnswer answer, long nowMillis) {
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
        repeatStops(nowMillis);
        dispatcher.dispatch(policy, nowMillis, epochMillis);
    }

    /** What is to be recorded since the last call. */
    public List<JobProgress> takeChanged() {
        List<JobProgress> progress = new ArrayList<>(changed.size());
        changed.forEach(job -> progress.add(job.progress()));
        changed.clear();
        return progress;
    }

    /** Whether anything is to be recorded. */
    public boolean hasChanged() {
        return !changed.isEmpty();
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
    public void forget(JobId id) {
        fleet.jobs.remove(id);
    }

    /** Access for the decisions on instances, which read and cordon workers. */
    FleetState fleet() {
        return fleet;
    }

    RunTimeEstimator estimator() {
        return estimator;
    }

    FleetPolicy policy() {
        return policy;
    }

    /** Stops a run, so that the task can be placed anew. */
    void stop(TrackedTask task, long nowMillis) {
        task.enter(TrackedTask.State.STOPPING, nowMillis);
        task.stopSentMillis = nowMillis;
        task.stopAnsweredMillis = 0;
        orders.stop(task.worker, task.ref, task.run);
    }

    /**
     * Takes the start time of the worker's incarnation, which its entry and its lists tell. A new
     * incarnation runs nothing of the old one. Starts that were not answered could still reach it,
     * so they are stopped there.
     */
    private void incarnation(WorkerState worker, long bornEpochMillis, long nowMillis) {
        if (bornEpochMillis <= worker.bornEpochMillis) {
            return;
        }
        boolean known = worker.bornEpochMillis != 0;
        worker.bornEpochMillis = bornEpochMillis;
        if (!known) {
            return;
        }
        worker.open = false;
        worker.failuresInRow = 0;
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (task.state == TrackedTask.State.RUNNING) {
                release(task, nowMillis);
            }
        }
    }

    private void release(TrackedTask task, long nowMillis) {
        fleet.vacate(task, nowMillis);
    }

    private void ended(WorkerState worker, FinishedRun end, long nowMillis) {
        TrackedTask task = fleet.task(end.task());
        if (task == null || task.state == TrackedTask.State.DONE) {
            return;
        }
        boolean current = task.occupies() && worker.entry.id().equals(task.worker);
        if (end.end() == RunEnd.DONE) {
            succeeded(task, worker, current && task.run == end.run(), nowMillis);
            return;
        }
        if (current && task.run > end.run()) {
            return;
        }
        if (current) {
            release(task, nowMillis);
        }
        task.run = Math.max(task.run, end.run());
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
            task.step.markBegun();
            changed.add(task.step.job);
        }
        if (end.end() == RunEnd.FAILED) {
            failed(task, end.run(), worker, nowMillis);
        }
    }

    private void succeeded(
            TrackedTask task, WorkerState worker, boolean currentRun, long nowMillis) {
        JobRun job = task.step.job;
        worker.failuresInRow = 0;
        if (currentRun) {
            estimator.observe(job.definition.queue(), nowMillis - task.sinceMillis);
        }
        List<TrackedTask> finished = task.step.definition.gang() ? task.step.tasks : List.of(task);
        for (TrackedTask member : finished) {
            finish(member, currentRun || member != task, nowMillis);
        }
        changed.add(job);
        if (!job.phase.isFinal() && job.allDone()) {
            end(job, JobPhase.COMPLETED, nowMillis);
        }
    }

    /** Marks a task done; a second run that may exist elsewhere is stopped. */
    private void finish(TrackedTask task, boolean ended, long nowMillis) {
        if (task.occupies()) {
            if (!ended) {
                orders.stop(task.worker, task.ref, task.run);
            }
            release(task, nowMillis);
        }
        task.step.markDone(task, nowMillis);
    }

    private void failed(TrackedTask task, long run, WorkerState worker, long nowMillis) {
        JobRun job = task.step.job;
        boolean lasting = task.step.definition.lasting();
        if (!lasting && !task.failedRuns.add(run)) {
            return;
        }
        task.step.markBegun();
        task.failures++;
        task.lastFailedOn = worker.entry.id();
        worker.failuresInRow++;
        worker.lastFailureMillis = nowMillis;
        if (lasting) {
            long wait = LASTING_RETRY_MILLIS << Math.min(task.failures, 4);
            task.notBeforeMillis = nowMillis + Math.min(wait, MAX_LASTING_RETRY_MILLIS);
            return;
        }
        changed.add(job);
        QueuePolicy queue = policy.queues().get(job.definition.queue());
        int maxAttempts = queue == null ? DEFAULT_MAX_ATTEMPTS : queue.maxAttempts();
        if (task.failures >= maxAttempts && !job.phase.isFinal()) {
            end(job, JobPhase.FAILED, nowMillis);
        }
    }

    private void end(JobRun job, JobPhase phase, long nowMillis) {
        job.phase = phase;
        fleet.deactivate(job);
        changed.add(job);
        for (int occurrence = 0; occurrence < job.occurrenceCount(); occurrence++) {
            for (StepRun step : job.steps(occurrence)) {
                for (TrackedTask task : step.tasks) {
                    endTask(task, nowMillis);
                }
            }
        }
    }

    private void endTask(TrackedTask task, long nowMillis) {
        if (task.state == TrackedTask.State.WAITING) {
            task.enter(TrackedTask.State.DROPPED, nowMillis);
        } else if (task.state == TrackedTask.State.ORDERED
                || task.state == TrackedTask.State.RUNNING) {
            stop(task, nowMillis);
        }
    }

    private void running(WorkerState worker, RunningTask running, long nowMillis) {
        TrackedTask task = fleet.task(running.task());
        boolean here = task != null && worker.entry.id().equals(task.worker);
        if (here && task.run == running.run()) {
            if (task.state == TrackedTask.State.ORDERED) {
                task.enter(TrackedTask.State.RUNNING, nowMillis);
            }
            observe(task, running, nowMillis);
            return;
        }
        if (task != null && task.state == TrackedTask.State.WAITING && running.run() >= task.run) {
            adopt(task, worker, running, nowMillis);
            return;
        }
        worker.strays.put(
                running, task == null ? worker.entry.capacity() : task.step.definition.reserved());
        orders.stop(worker.entry.id(), running.task(), running.run());
    }

    /** Takes over a run that an earlier owner started, or one whose order was late. */
    private void adopt(TrackedTask task, WorkerState worker, RunningTask running, long nowMillis) {
        task.run = running.run();
        task.step.markBegun();
        fleet.occupy(task, worker, TrackedTask.State.RUNNING, nowMillis);
        observe(task, running, nowMillis);
    }

    private static void observe(TrackedTask task, RunningTask running, long nowMillis) {
        if (running.percent() != task.percent) {
            task.percent = running.percent();
            task.progressedMillis = nowMillis;
        }
        task.load = running.load();
        if (!running.checkpoint().isEmpty()) {
            task.checkpoint = running.checkpoint();
        }
    }

    private void releaseMissing(
            WorkerState worker, Set<TaskRef> listed, long sentMillis, long nowMillis) {
        for (TrackedTask task : List.copyOf(worker.tasks.values())) {
            if (listed.contains(task.ref)) {
                continue;
            }
            boolean confirmedBefore =
                    task.state == TrackedTask.State.RUNNING && task.sinceMillis < sentMillis;
            boolean stoppedBefore =
                    task.state == TrackedTask.State.STOPPING
                            && task.stopAnsweredMillis != 0
                            && task.stopAnsweredMillis < sentMillis;
            if (confirmedBefore || stoppedBefore) {
                release(task, nowMillis);
            }
        }
    }

    private void repeatStops(long nowMillis) {
        for (WorkerState worker : fleet.workers.values()) {
            for (TrackedTask task : worker.tasks.values()) {
                if (task.state == TrackedTask.State.STOPPING
                        && task.stopAnsweredMillis == 0
                        && nowMillis - task.stopSentMillis >= STOP_RETRY_MILLIS) {
                    task.stopSentMillis = nowMillis;
                    orders.stop(task.worker, task.ref, task.run);
                }
            }
        }
    }
}
