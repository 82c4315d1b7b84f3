package org.quetzalscale.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.task.TaskRef;

/**
 * Jobs and workers of an owner, with the resources that tasks use of each worker and organisation.
 */
final class FleetState {
    final Map<JobId, JobRun> jobs = new LinkedHashMap<>();
    final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();
    final OrganisationUsage usage = new OrganisationUsage();
    final OpenTasks openTasks = new OpenTasks();
    private long jobBytes;

    /** Jobs that have not ended, by pool and in the order in which they were added. */
    private final Map<PoolId, Set<JobRun>> active = new LinkedHashMap<>();

    private final Map<PoolId, Map<WorkerId, WorkerState>> pools = new LinkedHashMap<>();

    private Set<ZoneId> evacuatedZones = Set.of();

    /** Whether an earlier owner may have started runs that are not known yet. */
    boolean recoveredJobsHeld;

    void addJob(JobRun job) {
        jobs.put(job.definition.id(), job);
        jobBytes += FleetMemory.bytes(job.definition);
        if (!job.phase.isFinal()) {
            active.computeIfAbsent(job.definition.pool(), pool -> new LinkedHashSet<>()).add(job);
        }
    }

    /** Ends a job: its tasks are not started any more. */
    void deactivate(JobRun job) {
        active.getOrDefault(job.definition.pool(), Set.of()).remove(job);
        jobBytes -= FleetMemory.bytes(job.definition);
        job.definition = job.definition.withoutSpec();
        jobBytes += FleetMemory.bytes(job.definition);
    }

    /** Forgets a job. */
    void removeJob(JobId id) {
        JobRun job = jobs.remove(id);
        if (job != null) {
            job.occurrences.closeAll();
            jobBytes -= FleetMemory.bytes(job.definition);
        }
    }

    /** About how much memory the definitions of all known jobs take. */
    long jobBytes() {
        return jobBytes;
    }

    Set<ZoneId> evacuatedZones() {
        return evacuatedZones;
    }

    boolean isEvacuated(ZoneId zone) {
        return evacuatedZones.contains(zone);
    }

    /** Replaces the evacuated zones. Workers of a restored zone that are cold begin their ramp. */
    void setEvacuatedZones(Set<ZoneId> zones) {
        evacuatedZones = Set.copyOf(zones);
        workers.values().forEach(this::updateEvacuation);
    }

    /** Updates the worker's state after a change of its entry or of the evacuated zones. */
    void updateEvacuation(WorkerState worker) {
        boolean evacuated = isEvacuated(worker.entry.zone());
        boolean cold = worker.entry.coldRemainingMillis() > 0;
        worker.ramping = cold && (worker.ramping || (worker.inEvacuatedZone && !evacuated));
        worker.inEvacuatedZone = evacuated;
    }

    void addWorker(WorkerState worker) {
        updateEvacuation(worker);
        workers.put(worker.entry.id(), worker);
        pools.computeIfAbsent(worker.entry.pool(), pool -> new LinkedHashMap<>())
                .put(worker.entry.id(), worker);
    }

    void removeWorker(WorkerState worker) {
        workers.remove(worker.entry.id());
        pools.getOrDefault(worker.entry.pool(), Map.of()).remove(worker.entry.id());
    }

    Set<PoolId> activePools() {
        return active.keySet();
    }

    Collection<JobRun> activeJobs(PoolId pool) {
        return active.getOrDefault(pool, Set.of());
    }

    Collection<WorkerState> workersOf(PoolId pool) {
        return pools.getOrDefault(pool, Map.of()).values();
    }

    /** The resources that a run of the task uses; empty if no known job has the task. */
    Optional<Resources> reservedBy(TaskRef ref) {
        return Optional.ofNullable(jobs.get(ref.job()))
                .map(job -> job.definition.steps())
                .filter(steps -> ref.step() >= 0 && ref.step() < steps.size())
                .map(steps -> steps.get(ref.step()).reserved());
    }

    /** Returns the task, or null if no known job has it or it needs no more runs. */
    TrackedTask task(TaskRef ref) {
        JobRun job = jobs.get(ref.job());
        return job == null ? null : job.task(ref);
    }

    /**
     * Assigns the task to the worker and counts its resources there and against its organisation's
     * cap.
     */
    void assign(TrackedTask task, WorkerState worker, TrackedTask.State state, long nowMillis) {
        task.worker = worker.entry.id();
        task.transitionTo(state, nowMillis);
        worker.tasks.put(task.ref, task);
        worker.used = worker.used.plus(task.step.definition.reserved());
        task.step.recordAssigned();
        usage.add(task.step.job.definition.organisation(), task.step.definition.need());
    }

    /** Reverts {@link #assign}. The task waits again or, if its job has ended, is dropped. */
    void unassign(TrackedTask task, long nowMillis) {
        WorkerState worker = workers.get(task.worker);
        if (worker != null && worker.tasks.remove(task.ref) != null) {
            worker.used =
                    worker.tasks.isEmpty()
                            ? Resources.NONE
                            : worker.used.minus(task.step.definition.reserved());
        }
        usage.remove(task.step.job.definition.organisation(), task.step.definition.need());
        task.step.recordUnassigned();
        if (task.isShownHarmless()) {
            task.clearCrashes();
        }
        task.worker = null;
        task.progress.reset();
        task.pacePercent = 100;
        task.evicting = false;
        task.unansweredMillis = 0;
        task.stopSentMillis = 0;
        task.stopAnsweredMillis = 0;
        boolean ended = task.step.job.phase.isFinal();
        task.transitionTo(ended ? TrackedTask.State.DROPPED : TrackedTask.State.WAITING, nowMillis);
        if (ended) {
            task.step.job.occurrences.closeIfIdle(task.step.occurrence);
        }
    }
}
