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
 * Brings the platform's tasks in line with the rows of their jobs: starts, renews, checkpoints and
 * stops them, and keeps the latest report of each. Every call is repeated until the platform
 * responds, which is safe because calls are idempotent for each task. Responses may arrive on any
 * thread; all methods must be called by one thread at a time.
 */
public final class TaskTracker {
    /** Time that a task keeps running without a renewal, in milliseconds. */
    public static final long TASK_LEASE_MILLIS = 60_000;

    /** Time between renewals of the lease of a task, in milliseconds. */
    public static final long RENEW_INTERVAL_MILLIS = 15_000;

    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    /** Run time between checkpoints of a task, in milliseconds. */
    private static final long CHECKPOINT_INTERVAL_MILLIS = 60_000;

    /** Errors by which the platform says that the task does not exist and is not started. */
    private static final Set<ErrorKind> REFUSALS =
            EnumSet.of(ErrorKind.INVALID_STATE, ErrorKind.RESOURCE_UNKNOWN);

    private final TaskRunner runner;
    private final Map<TaskId, TaskEntry> tasks = new HashMap<>();
    private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();
    private final Set<TaskId> stopWithoutCheckpoint = new HashSet<>();

    /** Creates a tracker without tasks. */
    public TaskTracker(TaskRunner runner) {
        this.runner = runner;
    }

    /** Processes the responses that have arrived since the last call. */
    public void processReplies() {
        for (Reply reply = replies.poll(); reply != null; reply = replies.poll()) {
            TaskEntry entry = tasks.get(reply.task());
            if (entry == null) {
                continue;
            }
            entry.callStartedAtMillis = TaskEntry.NO_CALL;
            if (reply.failure() == null) {
                entry.update(reply.report());
            } else {
                entry.refused |= REFUSALS.contains(reply.failure());
            }
        }
    }

    /** Tracks the current attempts of these jobs and forgets all other tasks. */
    public void track(Collection<StoredJob> jobs) {
        Set<TaskId> present = new HashSet<>();
        for (StoredJob stored : jobs) {
            if (stored.job().state().holdsUnits()) {
                TaskId task = stored.job().task();
                present.add(task);
                tasks.computeIfAbsent(task, key -> new TaskEntry()).job = stored.job();
            }
        }
        tasks.keySet().retainAll(present);
        stopWithoutCheckpoint.retainAll(present);
    }

    /** Forgets all tasks, after the lease has changed. */
    public void clear() {
        tasks.clear();
    }

    /** Whether there are no tracked tasks. */
    public boolean isEmpty() {
        return tasks.isEmpty();
    }

    /** Latest report of a tracked task, or empty if there is none yet. */
    public Optional<TaskReport> report(TaskId task) {
        return Optional.ofNullable(tasks.get(task)).map(entry -> entry.report);
    }

    /** Run time of a task since its last checkpoint, in milliseconds. */
    public long unsavedMillis(TaskId task) {
        TaskEntry entry = tasks.get(task);
        return entry == null || entry.report == null
                ? 0
                : entry.report.runMillis() - entry.checkpointedRunMillis;
    }

    /** Percentage of its declared cores that a task may use. */
    public int throttlePercent(TaskId task) {
        TaskEntry entry = tasks.get(task);
        return entry == null ? 100 : entry.throttlePercent;
    }

    /** Whether the platform refused to start the task and has never reported it. */
    public boolean isRefused(TaskId task) {
        TaskEntry entry = tasks.get(task);
        return entry != null && entry.report == null && entry.refused;
    }

    /** Makes the task stop without a checkpoint once its job is being stopped. */
    public void skipCheckpoint(TaskId task) {
        stopWithoutCheckpoint.add(task);
    }

    /** Limits the processor usage of a task to a percentage of its declared cores. */
    public void throttle(TaskId task, int percent, long nowMillis) {
        TaskEntry entry = tasks.get(task);
        if (entry != null) {
            entry.throttlePercent = percent;
            call(task, entry, runner.throttle(task, percent), nowMillis);
        }
    }

    /** Renews the task leases that are due; does not require the lease {@code jobs}. */
    public void renewDue(long nowMillis) {
        tasks.forEach(
                (task, entry) -> {
                    if (entry.isRunning() && entry.isRenewalDue(nowMillis)) {
                        entry.renewedAtMillis = nowMillis;
                        call(task, entry, runner.renew(task, TASK_LEASE_MILLIS), nowMillis);
                    }
                });
    }

    /**
     * Makes the calls that are due; requires the lease {@code jobs}, because starts are not fenced.
     */
    public void issueCalls(long nowMillis) {
        renewDue(nowMillis);
        tasks.forEach(
                (task, entry) -> {
                    if (!entry.hasPendingCall(nowMillis) && !entry.hasEnded()) {
                        issueCall(task, entry, nowMillis);
                    }
                });
    }

    private void issueCall(TaskId task, TaskEntry entry, long nowMillis) {
        JobRow job = entry.job;
        if (job.state() == JobState.STOPPING || job.cancelRequested()) {
            boolean checkpointFirst =
                    !job.cancelRequested() && !stopWithoutCheckpoint.contains(task);
            call(task, entry, runner.stop(task, checkpointFirst), nowMillis);
        } else if (entry.report == null) {
            // Starting a task that already runs does not extend its lease; a renewal follows.
            WorkerId worker = new WorkerId(job.worker());
            call(
                    task,
                    entry,
                    runner.start(task, worker, job.taskSpec(), TASK_LEASE_MILLIS),
                    nowMillis);
        } else if (entry.report.runMillis() - entry.checkpointedRunMillis
                        >= CHECKPOINT_INTERVAL_MILLIS
                && entry.checkpointRetryRunMillis < entry.report.runMillis()) {
            entry.checkpointRetryRunMillis = entry.report.runMillis() + CHECKPOINT_INTERVAL_MILLIS;
            call(task, entry, runner.checkpoint(task), nowMillis);
        } else if (nowMillis - entry.polledAtMillis >= POLL_INTERVAL_MILLIS) {
            entry.polledAtMillis = nowMillis;
            entry.callStartedAtMillis = nowMillis;
            runner.report(task)
                    .whenComplete(
                            (report, thrown) ->
                                    replies.add(
                                            new Reply(
                                                    task,
                                                    thrown == null ? report.orElse(null) : null,
                                                    errorKind(thrown))));
        }
    }

    private void call(
            TaskId task, TaskEntry entry, CompletionStage<TaskReport> stage, long nowMillis) {
        entry.callStartedAtMillis = nowMillis;
        stage.whenComplete(
                (report, thrown) -> replies.add(new Reply(task, report, errorKind(thrown))));
    }

    private static ErrorKind errorKind(Throwable thrown) {
        return thrown == null ? null : QuetzalscaleException.from(thrown).kind();
    }

    /** A response of the platform: a report, null if the task is unknown, or an error. */
    private record Reply(TaskId task, TaskReport report, ErrorKind failure) {}

    /** State of one tracked task. */
    private static final class TaskEntry {
        private static final long NO_CALL = Long.MIN_VALUE;

        private JobRow job;
        private TaskReport report;
        private boolean refused;
        private long callStartedAtMillis = NO_CALL;
        private long renewedAtMillis = Long.MIN_VALUE / 2;
        private long polledAtMillis = Long.MIN_VALUE / 2;
        private long checkpointedRunMillis;

        /** Run time after which a checkpoint is requested again if none was reported. */
        private long checkpointRetryRunMillis;

        private int throttlePercent = 100;

        private void update(TaskReport latest) {
            if (latest == null || hasEnded()) {
                return;
            }
            boolean saved =
                    !latest.checkpoint().isEmpty()
                            && (report == null || !latest.checkpoint().equals(report.checkpoint()));
            if (saved) {
                checkpointedRunMillis = latest.runMillis();
            }
            report = latest;
        }

        private boolean hasPendingCall(long nowMillis) {
            return callStartedAtMillis != NO_CALL
                    && nowMillis - callStartedAtMillis < CALL_TIMEOUT_MILLIS;
        }

        private boolean isRunning() {
            return report != null && !report.state().ended();
        }

        private boolean hasEnded() {
            return report != null && report.state().ended();
        }

        private boolean isRenewalDue(long nowMillis) {
            return nowMillis - renewedAtMillis >= RENEW_INTERVAL_MILLIS;
        }
    }
}
