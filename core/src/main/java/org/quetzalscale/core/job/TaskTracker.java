package org.quetzalscale.core.job;

import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.TaskReport;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * Drives the platform's tasks towards the rows of their jobs: starts, renews, checkpoints and stops
 * them, and keeps the latest report of each. Every call is repeated until the platform answered,
 * which its idempotence by task permits. Answers may arrive on any thread; all methods are called
 * by one thread at a time.
 */
public final class TaskTracker {
    /** Time that a task runs on without a renewal, in milliseconds. */
    public static final long TASK_LEASE_MILLIS = 60_000;

    /** Time between renewals of a task's lease, in milliseconds. */
    public static final long RENEW_MILLIS = 15_000;

    private static final long POLL_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long CHECKPOINT_RUN_MILLIS = 60_000;

    /** Answers that say that the platform has no such task and starts none on this worker. */
    private static final Set<ErrorKind> REFUSALS =
            EnumSet.of(ErrorKind.INVALID_STATE, ErrorKind.RESOURCE_UNKNOWN);

    private final TaskRunner runner;
    private final Map<TaskId, Tracked> tasks = new HashMap<>();
    private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();
    private final Set<TaskId> stopWithoutCheckpoint = new HashSet<>();

    /** A tracker that knows no task. */
    public TaskTracker(TaskRunner runner) {
        this.runner = runner;
    }

    /** Takes in the answers that arrived since the last call. */
    public void collect() {
        for (Reply reply = replies.poll(); reply != null; reply = replies.poll()) {
            Tracked tracked = tasks.get(reply.task());
            if (tracked == null) {
                continue;
            }
            tracked.callSinceMillis = Tracked.NO_CALL;
            if (reply.failure() == null) {
                tracked.accept(reply.report());
            } else {
                tracked.refused |= REFUSALS.contains(reply.failure());
            }
        }
    }

    /** Tracks exactly the present attempts of these jobs. */
    public void track(Collection<StoredJob> jobs) {
        Set<TaskId> present = new HashSet<>();
        for (StoredJob stored : jobs) {
            if (stored.job().state().holdsUnits()) {
                TaskId task = stored.job().task();
                present.add(task);
                tasks.computeIfAbsent(task, key -> new Tracked()).job = stored.job();
            }
        }
        tasks.keySet().retainAll(present);
        stopWithoutCheckpoint.retainAll(present);
    }

    /** Forgets all tasks, after another instance took over. */
    public void clear() {
        tasks.clear();
    }

    /** Whether no task is tracked. */
    public boolean isEmpty() {
        return tasks.isEmpty();
    }

    /** The latest report of a task that is tracked. */
    public Optional<TaskReport> report(TaskId task) {
        return Optional.ofNullable(tasks.get(task)).map(tracked -> tracked.report);
    }

    /** Run time of a task since its last checkpoint, in milliseconds. */
    public long unsavedMillis(TaskId task) {
        Tracked tracked = tasks.get(task);
        return tracked == null || tracked.report == null
                ? 0
                : tracked.report.runMillis() - tracked.savedRunMillis;
    }

    /** Share of its declared cores that a task may use, in percent. */
    public int throttlePercent(TaskId task) {
        Tracked tracked = tasks.get(task);
        return tracked == null ? 100 : tracked.throttlePercent;
    }

    /** Whether the platform does not know the task and answered that it will not take it now. */
    public boolean isRefused(TaskId task) {
        Tracked tracked = tasks.get(task);
        return tracked != null && tracked.report == null && tracked.refused;
    }

    /** Stops the task without a checkpoint once its job is being stopped. */
    public void dropUnsaved(TaskId task) {
        stopWithoutCheckpoint.add(task);
    }

    /** Limits the processor use of a task. */
    public void throttle(TaskId task, int percent, long nowMillis) {
        Tracked tracked = tasks.get(task);
        if (tracked != null) {
            tracked.throttlePercent = percent;
            call(task, tracked, runner.throttle(task, percent), nowMillis);
        }
    }

    /** Renews the leases that are due, whoever holds the lease on the order of starts. */
    public void renewDue(long nowMillis) {
        tasks.forEach(
                (task, tracked) -> {
                    if (tracked.isRunning() && tracked.isRenewalDue(nowMillis)) {
                        tracked.renewedAtMillis = nowMillis;
                        call(task, tracked, runner.renew(task, TASK_LEASE_MILLIS), nowMillis);
                    }
                });
    }

    /** Makes the calls that are due; only under the lease, because a start is not fenced. */
    public void drive(long nowMillis) {
        renewDue(nowMillis);
        tasks.forEach(
                (task, tracked) -> {
                    if (!tracked.isBusy(nowMillis) && !tracked.hasEnded()) {
                        drive(task, tracked, nowMillis);
                    }
                });
    }

    private void drive(TaskId task, Tracked tracked, long nowMillis) {
        JobRow job = tracked.job;
        if (job.state() == JobState.STOPPING || job.cancelRequested()) {
            boolean save = !job.cancelRequested() && !stopWithoutCheckpoint.contains(task);
            call(task, tracked, runner.stop(task, save), nowMillis);
        } else if (tracked.report == null) {
            // A start of a task that runs already does not extend its lease; a renewal follows.
            WorkerId worker = new WorkerId(job.worker());
            call(
                    task,
                    tracked,
                    runner.start(task, worker, job.taskSpec(), TASK_LEASE_MILLIS),
                    nowMillis);
        } else if (tracked.report.runMillis() - tracked.savedRunMillis >= CHECKPOINT_RUN_MILLIS
                && tracked.checkpointAskedRunMillis < tracked.report.runMillis()) {
            tracked.checkpointAskedRunMillis = tracked.report.runMillis() + CHECKPOINT_RUN_MILLIS;
            call(task, tracked, runner.checkpoint(task), nowMillis);
        } else if (nowMillis - tracked.polledAtMillis >= POLL_MILLIS) {
            tracked.polledAtMillis = nowMillis;
            tracked.callSinceMillis = nowMillis;
            runner.report(task)
                    .whenComplete(
                            (report, thrown) ->
                                    replies.add(
                                            new Reply(
                                                    task,
                                                    thrown == null ? report.orElse(null) : null,
                                                    kind(thrown))));
        }
    }

    private void call(
            TaskId task, Tracked tracked, CompletionStage<TaskReport> stage, long nowMillis) {
        tracked.callSinceMillis = nowMillis;
        stage.whenComplete((report, thrown) -> replies.add(new Reply(task, report, kind(thrown))));
    }

    private static ErrorKind kind(Throwable thrown) {
        return thrown == null ? null : QuetzalscaleException.from(thrown).kind();
    }

    /** An answer of the platform: a report, null if it does not know the task, or a failure. */
    private record Reply(TaskId task, TaskReport report, ErrorKind failure) {}

    /** What is known of one task. */
    private static final class Tracked {
        private static final long NO_CALL = Long.MIN_VALUE;

        private JobRow job;
        private TaskReport report;
        private boolean refused;
        private long callSinceMillis = NO_CALL;
        private long renewedAtMillis = Long.MIN_VALUE / 2;
        private long polledAtMillis = Long.MIN_VALUE / 2;
        private long savedRunMillis;
        private long checkpointAskedRunMillis;
        private int throttlePercent = 100;

        private void accept(TaskReport latest) {
            if (latest == null || hasEnded()) {
                return;
            }
            boolean saved =
                    !latest.checkpoint().isEmpty()
                            && (report == null || !latest.checkpoint().equals(report.checkpoint()));
            if (saved) {
                savedRunMillis = latest.runMillis();
            }
            report = latest;
        }

        private boolean isBusy(long nowMillis) {
            return callSinceMillis != NO_CALL && nowMillis - callSinceMillis < CALL_TIMEOUT_MILLIS;
        }

        private boolean isRunning() {
            return report != null && !report.state().ended();
        }

        private boolean hasEnded() {
            return report != null && report.state().ended();
        }

        private boolean isRenewalDue(long nowMillis) {
            return nowMillis - renewedAtMillis >= RENEW_MILLIS;
        }
    }
}
