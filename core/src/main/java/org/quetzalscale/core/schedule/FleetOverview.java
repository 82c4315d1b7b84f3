package org.quetzalscale.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Read-only view of an owner's pools, queues and jobs for operators, with the reason why a job
 * waits.
 */
public final class FleetOverview {
    private final FleetScheduler scheduler;
    private final FleetState fleet;

    /** Creates a view that reads the scheduler's current state on each call. */
    public FleetOverview(FleetScheduler scheduler) {
        this.scheduler = scheduler;
        this.fleet = scheduler.fleet();
    }

    /**
     * Workers, tasks and processors of a pool.
     *
     * @param unresponsive workers that do not answer or have not reported to this owner yet
     * @param drained workers that accept no more tasks, because they leave the fleet, are cordoned
     *     or are in an evacuated zone
     * @param coresUsed processors reserved by tasks
     */
    public record PoolView(
            int workers,
            int unresponsive,
            int drained,
            int tasks,
            double coresUsed,
            double cores) {}

    /**
     * Task counts of a step in one occurrence of its job.
     *
     * @param stopping tasks whose runs are being stopped
     * @param reason why the first waiting task of the step does not start
     */
    public record StepView(
            int occurrence,
            int step,
            int waiting,
            int running,
            int stopping,
            int done,
            WaitReason reason) {}

    /** A job with the state of its steps. */
    public record JobView(QueueId queue, PoolId pool, JobPhase phase, List<StepView> steps) {
        /** Copies the steps. */
        public JobView {
            steps = List.copyOf(steps);
        }
    }

    /** All pools that have workers. */
    public Map<PoolId, PoolView> pools() {
        Map<PoolId, PoolView> views = new LinkedHashMap<>();
        for (WorkerState worker : fleet.workers.values()) {
            views.computeIfAbsent(worker.entry.pool(), this::poolView);
        }
        return views;
    }

    /**
     * The number of jobs by queue and phase. A queued job with a started task counts as running.
     */
    public Map<QueueId, Map<JobPhase, Integer>> jobs() {
        Map<QueueId, Map<JobPhase, Integer>> counts = new LinkedHashMap<>();
        for (JobRun job : fleet.jobs.values()) {
            counts.computeIfAbsent(job.definition.queue(), queue -> new TreeMap<>())
                    .merge(phase(job), 1, Integer::sum);
        }
        return counts;
    }

    /** Returns the state of a job, or empty if the owner does not know the job. */
    public Optional<JobView> job(JobId id, long nowMillis) {
        JobRun job = fleet.jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        List<StepView> steps = new ArrayList<>();
        for (List<StepRun> occurrence : job.occurrences.open().values()) {
            occurrence.forEach(step -> steps.add(stepView(step, nowMillis)));
        }
        if (job.phase.isFinal()) {
            if (steps.isEmpty()) {
                steps.addAll(viewsWithoutTasks(job, 0, WaitReason.JOB_ENDED));
            }
        } else if (job.occurrences.next() < job.occurrences.count()) {
            int next = job.occurrences.next();
            boolean due = job.isDueBy(next, scheduler.epochMillis());
            steps.addAll(
                    viewsWithoutTasks(job, next, due ? WaitReason.OPEN_TASKS : WaitReason.NOT_DUE));
        }
        return Optional.of(
                new JobView(job.definition.queue(), job.definition.pool(), phase(job), steps));
    }

    /**
     * Jobs of an organisation that have not ended and count against its rate.
     *
     * @param within jobs within the declared rate
     * @param excess jobs beyond it
     */
    public record RateView(int within, int excess) {}

    /** The jobs of each organisation that declares a rate, within it and beyond it. */
    public Map<OrganisationId, RateView> rates() {
        Map<OrganisationId, RateView> views = new TreeMap<>();
        scheduler.policy().organisations().values().stream()
                .filter(organisation -> organisation.rate() > 0)
                .forEach(organisation -> views.put(organisation.id(), new RateView(0, 0)));
        for (PoolId pool : fleet.activePools()) {
            for (JobRun job : fleet.activeJobs(pool)) {
                if (ExcessMarks.counts(job.definition)) {
                    int excess = scheduler.excess().isExcess(job.definition.id()) ? 1 : 0;
                    job.definition
                            .organisation()
                            .ifPresent(
                                    id ->
                                            views.computeIfPresent(
                                                    id,
                                                    (key, view) ->
                                                            new RateView(
                                                                    view.within() + 1 - excess,
                                                                    view.excess() + excess)));
                }
            }
        }
        return views;
    }

    private static JobPhase phase(JobRun job) {
        return job.phase == JobPhase.QUEUED && job.hasStarted() ? JobPhase.RUNNING : job.phase;
    }

    private PoolView poolView(PoolId id) {
        Collection<WorkerState> workers = fleet.workersOf(id);
        int unresponsive = 0;
        int drained = 0;
        int tasks = 0;
        double used = 0;
        double cores = 0;
        for (WorkerState worker : workers) {
            unresponsive += worker.unresponsive || !worker.reported ? 1 : 0;
            drained += WorkerUse.isEmptied(worker) ? 1 : 0;
            tasks += worker.tasks.size();
            used += worker.used.cores();
            cores += worker.entry.capacity().cores();
        }
        return new PoolView(workers.size(), unresponsive, drained, tasks, used, cores);
    }

    /** The steps of an occurrence that is not open. Tasks of a job that has ended do not wait. */
    private static List<StepView> viewsWithoutTasks(JobRun job, int occurrence, WaitReason reason) {
        List<StepView> views = new ArrayList<>();
        for (StepDefinition step : job.definition.steps()) {
            int waiting = reason == WaitReason.JOB_ENDED ? 0 : step.count();
            views.add(new StepView(occurrence, views.size(), waiting, 0, 0, 0, reason));
        }
        return views;
    }

    private StepView stepView(StepRun step, long nowMillis) {
        int waiting = 0;
        int running = 0;
        int stopping = 0;
        int done = 0;
        WaitReason reason = WaitReason.NONE;
        for (TrackedTask task : step.tasks) {
            switch (task.state) {
                case WAITING -> {
                    reason = waiting == 0 ? waitReason(task, nowMillis) : reason;
                    waiting++;
                }
                case STARTING, RUNNING -> running++;
                case STOPPING -> stopping++;
                case DONE -> done++;
                default -> reason = WaitReason.JOB_ENDED;
            }
        }
        return new StepView(step.occurrence, step.number, waiting, running, stopping, done, reason);
    }

    private WaitReason waitReason(TrackedTask task, long nowMillis) {
        JobRun job = task.step.job;
        long due = job.definition.recurrence().dueEpochMillis(task.step.occurrence);
        if (due > scheduler.epochMillis()) {
            return WaitReason.NOT_DUE;
        }
        if (job.progressUnreadable) {
            return WaitReason.PROGRESS_UNREADABLE;
        }
        if (job.held) {
            return WaitReason.OWNER_CHANGED;
        }
        if (!job.isReady(task.step)) {
            return WaitReason.EARLIER_STEPS;
        }
        if (nowMillis < task.retryAtMillis) {
            return WaitReason.PAUSE;
        }
        if (!fleet.usage.permits(scheduler.policy(), job.definition, task.step.definition.need())) {
            return WaitReason.ORGANISATION_CAP;
        }
        Collection<WorkerState> workers = fleet.workersOf(job.definition.pool());
        return Placement.choose(task, workers, nowMillis) == null
                ? WaitReason.NO_ROOM
                : WaitReason.TURN;
    }
}
