package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.TaskRef;

/**
 * Starts without an answer, which a worker may carry out seconds later. A stop forbids them in the
 * life in which the worker answers it; a worker that begins a new life under its id knows nothing
 * of that, so they are stopped there once more. A start counts as unanswered from when it is sent,
 * because its task may be elsewhere by the time at which an answer is given up.
 */
final class LateStarts {
    /** A start without an answer is carried out within 12 s, or never. */
    private static final long LATE_MILLIS = 13_000;

    private static final long STOP_RETRY_MILLIS = 400;

    private final OrderSender orders;
    private final Map<WorkerId, Map<Run, LateStart>> starts = new HashMap<>();

    private record Run(TaskRef task, long number) {}

    /** A start that was not answered. */
    private static final class LateStart {
        final long sentMillis;

        /** Whether the worker's present life has to answer a stop. */
        boolean stopPending;

        long stopSentMillis;

        LateStart(long sentMillis) {
            this.sentMillis = sentMillis;
        }

        boolean isOver(long nowMillis) {
            return nowMillis - sentMillis > LATE_MILLIS;
        }
    }

    LateStarts(OrderSender orders) {
        this.orders = orders;
    }

    /** A start is sent. In the present life of the worker, who ordered it also stops it. */
    void sent(WorkerId worker, TaskRef task, long run, long nowMillis) {
        starts.computeIfAbsent(worker, id -> new HashMap<>())
                .put(new Run(task, run), new LateStart(nowMillis));
    }

    /** The start was answered, and is carried out now or never. */
    void answered(WorkerId worker, TaskRef task, long run) {
        Map<Run, LateStart> late = starts.get(worker);
        if (late != null) {
            late.remove(new Run(task, run));
        }
    }

    /** The worker may have begun a new life. */
    void newLife(WorkerId worker, long nowMillis) {
        Map<Run, LateStart> late = starts.getOrDefault(worker, Map.of());
        late.forEach((run, start) -> stop(worker, run, start, nowMillis));
    }

    /** The worker answered a stop. */
    void stopAnswered(WorkerId worker, TaskRef task, long run) {
        LateStart start = starts.getOrDefault(worker, Map.of()).get(new Run(task, run));
        if (start != null) {
            start.stopPending = false;
        }
    }

    /** Sends stops again that were not answered, and forgets what can not be carried out. */
    void repeatStops(long nowMillis) {
        for (Map.Entry<WorkerId, Map<Run, LateStart>> worker : starts.entrySet()) {
            worker.getValue().values().removeIf(start -> start.isOver(nowMillis));
            worker.getValue()
                    .forEach((run, start) -> repeat(worker.getKey(), run, start, nowMillis));
        }
        starts.values().removeIf(Map::isEmpty);
    }

    private void repeat(WorkerId worker, Run run, LateStart start, long nowMillis) {
        if (start.stopPending && nowMillis - start.stopSentMillis >= STOP_RETRY_MILLIS) {
            stop(worker, run, start, nowMillis);
        }
    }

    private void stop(WorkerId worker, Run run, LateStart start, long nowMillis) {
        start.stopPending = true;
        start.stopSentMillis = nowMillis;
        orders.stop(worker, run.task(), run.number());
    }
}
