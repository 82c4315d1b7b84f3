package org.quetzalscale.core.schedule;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.quetzalscale.core.task.StepDefinition;

/**
 * Chooses the worker for a task. The worker must have the capacity and the required label; workers
 * on the rack of the task's data score higher, and so do those of the {@link #SPREAD} or {@link
 * #PACKED} preference; the worker where the task failed last, suspect workers and cold ones score
 * lower. A task under which a worker has crashed is kept apart from other tasks if possible: it
 * must not take their work down with it, and the next crash has to tell whether it is the cause.
 */
final class Placement {
    private static final double DATA_RACK_BONUS = 2;
    private static final double FAILED_HERE_PENALTY = 4;
    private static final double SUSPECT_PENALTY = 8;
    private static final double COLD_PENALTY = 1;

    /**
     * How long a task waits for a worker without another strong suspect. After a power failure of
     * many workers most tasks are suspects, and accepted work may not wait for 3 s beside free
     * capacity.
     */
    private static final long MAX_WAIT_APART_MILLIS = 1_500;

    private static final double CRASH_SUSPECT_HERE_PENALTY = 6;

    /** For each other task on the worker of a suspect. Outweighs the rack of its data. */
    private static final double CRASH_SUSPECT_NEIGHBOR_PENALTY = 3;

    /** Prefers the emptiest workers, so that the end of one of them stops few tasks. */
    static final ToDoubleFunction<WorkerState> SPREAD = WorkerState::freeCoreFraction;

    /** Keeps the score of a worker with up to 100 cores below every penalty. */
    private static final double CORES_PER_POINT = 100;

    /** Prefers the workers with the fewest free processors, so that large tasks find room. */
    static final ToDoubleFunction<WorkerState> PACKED =
            worker -> -worker.freeCores() / CORES_PER_POINT;

    private Placement() {}

    /** Returns the worker with the best score, or null if none can take the task now. */
    static WorkerState choose(TrackedTask task, Collection<WorkerState> workers, long nowMillis) {
        return choose(task, workers, worker -> true, SPREAD, nowMillis);
    }

    /** The same among the permitted workers, with another preference than the emptiest. */
    static WorkerState choose(
            TrackedTask task,
            Collection<WorkerState> workers,
            Predicate<WorkerState> permitted,
            ToDoubleFunction<WorkerState> preference,
            long nowMillis) {
        WorkerState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerState worker : workers) {
            if (!canRun(task, worker, nowMillis)) {
                continue;
            }
            double score = score(task, worker, preference, nowMillis);
            if (score > bestScore && permitted.test(worker)) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    private static boolean canRun(TrackedTask task, WorkerState worker, long nowMillis) {
        StepDefinition step = task.step.definition;
        if (!WorkerUse.hasRoomFor(worker, step, nowMillis)
                || !isEligible(task, worker, nowMillis)) {
            return false;
        }
        return step.maxPerWorker() == 0 || worker.tasksOf(task.step) < step.maxPerWorker();
    }

    /** Whether the worker can take the task as soon as it has the capacity. */
    static boolean isEligible(TrackedTask task, WorkerState worker, long nowMillis) {
        if (!WorkerUse.acceptsNewTasks(worker, nowMillis)) {
            return false;
        }
        if (!worker.health.permits(task, nowMillis)) {
            return false;
        }
        if (task.isStrongCrashSuspect()
                && nowMillis - task.stateSinceMillis < MAX_WAIT_APART_MILLIS
                && worker.runsStrongCrashSuspectBeside(task.step.job)) {
            return false;
        }
        return task.step
                .definition
                .requiredLabel()
                .filter(label -> !worker.entry.labels().contains(label))
                .isEmpty();
    }

    private static double score(
            TrackedTask task,
            WorkerState worker,
            ToDoubleFunction<WorkerState> preference,
            long nowMillis) {
        double score = preference.applyAsDouble(worker);
        if (task.step.definition.dataRack().filter(worker.entry.rack()::equals).isPresent()) {
            score += DATA_RACK_BONUS;
        }
        if (task.step.definition.lasting()) {
            score -= worker.tasksOf(task.step);
        }
        if (worker.entry.id().equals(task.lastFailedOn)) {
            score -= FAILED_HERE_PENALTY;
        }
        if (worker.health.isSuspect(nowMillis)) {
            score -= SUSPECT_PENALTY;
        }
        if (worker.entry.coldRemainingMillis() > 0) {
            score -= COLD_PENALTY;
        }
        if (task.isCrashSuspect()) {
            score -= CRASH_SUSPECT_NEIGHBOR_PENALTY * worker.tasksNotServing();
        } else if (worker.runsCrashSuspect()) {
            score -= CRASH_SUSPECT_HERE_PENALTY;
        }
        return score;
    }
}
