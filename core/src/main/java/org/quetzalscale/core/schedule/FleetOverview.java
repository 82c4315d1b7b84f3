package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.JobPhase;

/** What operators ask an owner: how its pools and queues stand, and why a job waits. */
public final class FleetOverview {
    private final FleetScheduler scheduler;
    private final FleetState fleet;

    /** Reads the scheduler's state when it is asked. */
    public FleetOverview(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.fleet = scheduler.fleet();
    }

    /**
     * A pool.
     *
     * @param unresponsive workers that do not answer
     * @param drained workers that take no more work, because they leave or are moved
     * @param coresUsed processors that tasks take
     */
    public record PoolView(
            int workers,
            int unresponsive,
            int drained,
            int tasks,
            double coresUsed,
            double cores) {}

    /**
     * A step of one occurrence.
     *
     * @param stopping tasks whose runs are being stopped
     * @param reason why its first waiting task does not start
     */
    public record StepView(
            int occurrence,
            int step,
            int waiting,
            int running,
            int stopping,
            int done,
            WaitReason reason) {}

    /** A job with its steps. */
    public record JobView(QueueId queue, PoolId pool, JobPhase phase, List<StepView> steps) {
        /** Copies the steps. */
        public JobView {
            steps = List.copyOf(steps);
        }
    }

    /** The pools that have workers. */
    public Map<PoolId, PoolView> pools() {
        Map<PoolId, PoolView> views = new LinkedHashMap<>();
        for (WorkerState worker : fleet.workers.values()) {
            views.computeIfAbsent(worker.entry.pool(), this::pool);
        }
        return views;
    }

    /** Jobs that are kept, by queue and phase; one that has begun counts as running. */
    public Map<QueueId, Map<JobPhase, Integer>> jobs() {
        Map<QueueId, Map<JobPhase, Integer>> counts = new LinkedHashMap<>();
        for (JobRun job : fleet.jobs.values()) {
            counts.computeIfAbsent(job.definition.queue(), queue -> new TreeMap<>())
                    .merge(phase(job), 1, Integer::sum);
        }
        return counts;
    }

    /** A job; empty if the owner does not know it. */
    public Optional<JobView> job(JobId id, long nowMillis) {
        JobRun job = fleet.jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        List<StepView> steps = new ArrayList<>();
        for (int occurrence = 0; occurrence < job.occurrenceCount(); occurrence++) {
            for (StepRun step : job.steps(occurrence)) {
                steps.add(step(step, nowMillis));
            }
        }
        return Optional.of(
                new JobView(job.definition.queue(), job.definition.pool(), phase(job), steps));
    }

    private static JobPhase phase(JobRun job) {
        return job.phase == JobPhase.QUEUED && job.hasBegun() ? JobPhase.RUNNING : job.phase;
    }

    private PoolView pool(PoolId id) {
        Collection<WorkerState> workers = fleet.workersOf(id);
        int silent = 0;
        int drained = 0;
        int tasks = 0;
        double used = 0;
        double cores = 0;
        for (WorkerState worker : workers) {
            silent += worker.silent || !worker.open ? 1 : 0;
            drained += worker.cordoned || worker.entry.draining() ? 1 : 0;
            tasks += worker.tasks.size();
            used += worker.used.cores();
            cores += worker.entry.capacity().cores();
        }
        return new PoolView(workers.size(), silent, drained, tasks, used, cores);
    }

    private StepView step(StepRun step, long nowMillis) {
        int waiting = 0;
        int running = 0;
        int stopping = 0;
        int done = 0;
        WaitReason reason = WaitReason.NONE;
        for (TrackedTask task : step.tasks) {
            switch (task.state) {
                case WAITING -> {
                    reason = waiting == 0 ? reason(task, nowMillis) : reason;
                    waiting++;
                }
                case ORDERED, RUNNING -> running++;
                case STOPPING -> stopping++;
                case DONE -> done++;
                default -> reason = WaitReason.JOB_ENDED;
            }
        }
        return new StepView(step.occurrence, step.number, waiting, running, stopping, done, reason);
    }

    private WaitReason reason(TrackedTask task, long nowMillis) {
        JobRun job = task.step.job;
        long due = job.definition.recurrence().dueEpochMillis(task.step.occurrence);
        if (due > scheduler.epochMillis()) {
            return WaitReason.NOT_DUE;
        }
        if (job.held) {
            return WaitReason.OWNER_CHANGED;
        }
        if (!job.isReady(task.step)) {
            return WaitReason.EARLIER_STEPS;
        }
        if (nowMillis < task.notBeforeMillis) {
            return WaitReason.PAUSE;
        }
        if (!fleet.usage.permits(
                scheduler.policy(), job.definition.organisation(), task.step.definition.need())) {
            return WaitReason.ORGANISATION_CAP;
        }
        Collection<WorkerState> workers = fleet.workersOf(job.definition.pool());
        return Placement.choose(task, workers, nowMillis) == null
                ? WaitReason.NO_ROOM
                : WaitReason.TURN;
    }
}
