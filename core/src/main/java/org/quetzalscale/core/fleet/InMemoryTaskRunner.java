package org.quetzalscale.core.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Simulates tasks in memory: the default of a single daemon without a platform, and the state of
 * the stand-in. No process runs; the state of a task follows from its command, parsed by {@link
 * TaskScript}, and the time.
 */
public final class InMemoryTaskRunner implements TaskRunner {
    private static final long ENDED_RETENTION_MILLIS = 3_600_000;
    private static final TaskScript WORKER_FAULT =
            new TaskScript(0, "worker fault", TaskScript.AS_DECLARED, TaskScript.AS_DECLARED);

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    private final Set<WorkerId> failingWorkers = new HashSet<>();
    private final TimeSource time;
    private final long usagePeriodMillis;
    private long nextPurgeMillis;

    /**
     * Creates a runner without tasks.
     *
     * @param usagePeriodMillis time between two reports of a worker; {@link #report} is out of date
     *     by up to this time, or not at all if 0
     */
    public InMemoryTaskRunner(TimeSource time, long usagePeriodMillis) {
        this.time = time;
        this.usagePeriodMillis = usagePeriodMillis;
        this.nextPurgeMillis = time.nowMillis() + ENDED_RETENTION_MILLIS;
    }

    @Override
    public CompletionStage<TaskReport> start(
            TaskId task, WorkerId worker, TaskSpec spec, long leaseMillis) {
        lock.lock();
        try {
            long nowMillis = time.nowMillis();
            purge(nowMillis);
            SimulatedTask simulated =
                    tasks.computeIfAbsent(
                            task, id -> create(id, worker, spec, nowMillis, leaseMillis));
            simulated.advanceTo(nowMillis);
            return CompletableFuture.completedFuture(simulated.current());
        } finally {
            lock.unlock();
        }
    }

    @Override
    public CompletionStage<TaskReport> renew(TaskId task, long leaseMillis) {
        return update(task, simulated -> simulated.renew(leaseMillis));
    }

    @Override
    public CompletionStage<TaskReport> checkpoint(TaskId task) {
        return update(task, SimulatedTask::checkpoint);
    }

    @Override
    public CompletionStage<TaskReport> throttle(TaskId task, int percent) {
        if (percent < 1 || percent > 100) {
            return CompletableFuture.failedFuture(
                    new QuetzalscaleException(
                            ErrorKind.INVALID_FIELD,
                            "percent",
                            "percent " + percent + " is not within 1 to 100"));
        }
        return update(task, simulated -> simulated.throttle(percent));
    }

    @Override
    public CompletionStage<TaskReport> stop(TaskId task, boolean checkpointFirst) {
        return update(
                task,
                simulated -> {
                    if (checkpointFirst) {
                        simulated.checkpoint();
                    }
                    simulated.end(TaskState.STOPPED);
                });
    }

    @Override
    public CompletionStage<Optional<TaskReport>> report(TaskId task) {
        lock.lock();
        try {
            SimulatedTask simulated = tasks.get(task);
            if (simulated == null) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            simulated.advanceTo(time.nowMillis());
            return CompletableFuture.completedFuture(Optional.of(simulated.published()));
        } finally {
            lock.unlock();
        }
    }

    /** Turns on or off that every task that starts on the worker fails at once. */
    public void failTasksOf(WorkerId worker, boolean fail) {
        lock.lock();
        try {
            if (fail) {
                failingWorkers.add(worker);
            } else {
                failingWorkers.remove(worker);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Ends all running tasks of a lost worker with state LOST. */
    public void loseWorker(WorkerId worker) {
        lock.lock();
        try {
            long nowMillis = time.nowMillis();
            for (SimulatedTask simulated : tasks.values()) {
                simulated.advanceTo(nowMillis);
                if (simulated.worker().equals(worker)) {
                    simulated.end(TaskState.LOST);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private SimulatedTask create(
            TaskId task, WorkerId worker, TaskSpec spec, long nowMillis, long leaseMillis) {
        TaskScript script =
                failingWorkers.contains(worker) ? WORKER_FAULT : TaskScript.parse(spec.command());
        return new SimulatedTask(
                task, worker, spec, script, nowMillis, leaseMillis, usagePeriodMillis);
    }

    private CompletionStage<TaskReport> update(TaskId task, Consumer<SimulatedTask> action) {
        lock.lock();
        try {
            SimulatedTask simulated = tasks.get(task);
            if (simulated == null) {
                return CompletableFuture.failedFuture(
                        new QuetzalscaleException(
                                ErrorKind.RESOURCE_UNKNOWN, "task " + task + " was never started"));
            }
            simulated.advanceTo(time.nowMillis());
            action.accept(simulated);
            return CompletableFuture.completedFuture(simulated.current());
        } finally {
            lock.unlock();
        }
    }

    private void purge(long nowMillis) {
        if (nowMillis < nextPurgeMillis) {
            return;
        }
        nextPurgeMillis = nowMillis + ENDED_RETENTION_MILLIS;
        tasks.values().forEach(simulated -> simulated.advanceTo(nowMillis));
        tasks.values()
                .removeIf(
                        simulated ->
                                simulated.current().state().ended()
                                        && simulated.atMillis() + ENDED_RETENTION_MILLIS
                                                < nowMillis);
    }
}
