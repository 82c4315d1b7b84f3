package org.quetzalscale.core.fleet;

import org.quetzalscale.core.id.TaskId;
import org.quetzalscale.core.id.WorkerId;

/**
 * One task of {@link InMemoryTaskRunner}, advanced to the present whenever it is accessed. Not safe
 * for use by several threads.
 */
final class SimulatedTask {
    private static final int FULL_PERCENT = 100;

    private final TaskId task;
    private final WorkerId worker;
    private final TaskScript script;
    private final int cores;
    private final int memoryMib;
    private final long startMillis;
    private final long initialProgress;
    private final long usagePeriodMillis;

    private long atMillis;
    private long leaseEndMillis;
    // In hundredths of a millisecond, so that a throttle of 1 percent causes no rounding loss.
    private long progress;
    private int percent = FULL_PERCENT;
    private TaskState state = TaskState.RUNNING;
    private String checkpoint;
    private String reason = "";
    private TaskReport published;
    private long publishedMillis;

    SimulatedTask(
            TaskId task,
            WorkerId worker,
            TaskSpec spec,
            TaskScript script,
            long nowMillis,
            long leaseMillis,
            long usagePeriodMillis) {
        this.task = task;
        this.worker = worker;
        this.script = script;
        this.cores = script.cores() == TaskScript.AS_DECLARED ? spec.cores() : script.cores();
        this.memoryMib =
                script.memoryMib() == TaskScript.AS_DECLARED
                        ? spec.memoryMib()
                        : script.memoryMib();
        this.checkpoint = spec.checkpoint();
        this.initialProgress = progressOf(spec.checkpoint());
        this.progress = initialProgress;
        this.startMillis = nowMillis;
        this.atMillis = nowMillis;
        this.leaseEndMillis = nowMillis + leaseMillis;
        this.usagePeriodMillis = usagePeriodMillis;
        this.published = current();
        this.publishedMillis = nowMillis;
    }

    /** Advances the task and its worker's latest report to the given time. */
    void advanceTo(long nowMillis) {
        long period = Math.max(1, usagePeriodMillis);
        long reportMillis = startMillis + (nowMillis - startMillis) / period * period;
        if (reportMillis > publishedMillis) {
            run(reportMillis);
            published = current();
            publishedMillis = reportMillis;
        }
        run(nowMillis);
    }

    void renew(long leaseMillis) {
        if (!state.ended()) {
            leaseEndMillis = atMillis + leaseMillis;
        }
    }

    void checkpoint() {
        if (!state.ended()) {
            checkpoint = task + "@" + progress;
        }
    }

    void throttle(int percent) {
        this.percent = percent;
    }

    void end(TaskState endState) {
        if (!state.ended()) {
            state = endState;
        }
    }

    WorkerId worker() {
        return worker;
    }

    /** State and usage now. */
    TaskReport current() {
        return new TaskReport(
                task,
                worker,
                state,
                atMillis - startMillis,
                (progress - initialProgress) / FULL_PERCENT * cores,
                memoryMib,
                checkpoint,
                reason);
    }

    /** State and usage as of the worker's latest regular report. */
    TaskReport published() {
        return usagePeriodMillis == 0 ? current() : published;
    }

    /** Time to which the task was last advanced; its end time if it ended. */
    long atMillis() {
        return atMillis;
    }

    private void run(long untilMillis) {
        if (state.ended() || untilMillis < atMillis) {
            return;
        }
        long finishMillis = finishMillis();
        long endMillis = Math.min(untilMillis, Math.min(finishMillis, leaseEndMillis));
        progress += Math.max(0, endMillis - atMillis) * percent;
        atMillis = Math.max(atMillis, endMillis);
        if (finishMillis == endMillis) {
            reason = script.failure();
            state = reason.isEmpty() ? TaskState.SUCCEEDED : TaskState.FAILED;
        } else if (leaseEndMillis == endMillis) {
            state = TaskState.LEASE_EXPIRED;
        }
    }

    private static long progressOf(String checkpoint) {
        String number = checkpoint.substring(checkpoint.indexOf('@') + 1);
        return number.matches("\\d{1,18}") ? Long.parseLong(number) : 0;
    }

    private long finishMillis() {
        if (script.runMillis() == TaskScript.ENDLESS) {
            return Long.MAX_VALUE;
        }
        long remaining = Math.max(0, script.runMillis() * FULL_PERCENT - progress);
        return atMillis + (remaining + percent - 1) / percent;
    }
}
