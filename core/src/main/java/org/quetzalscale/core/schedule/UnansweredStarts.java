package org.quetzalscale.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.TaskRef;

/**
 * Tracks starts without an answer, which a worker may carry out seconds later. A stop prevents such
 * a start only in the incarnation of the worker that answers the stop. A restarted worker with the
 * same id does not know of the stop, so the start is stopped again. A start is tracked from the
 * time it is sent, because its task may already run elsewhere when the call times out.
 */
final class UnansweredStarts {
    /** A start without an answer is carried out within 12 s or not at all. */
    private static final long MAX_DELAY_MILLIS = 13_000;

    private static final long STOP_RETRY_MILLIS = 400;

    private final OrderSender orders;
    private final Map<WorkerId, Map<Run, Start>> starts = new HashMap<>();

    private record Run(TaskRef task, long number) {}

    /** The state of one unanswered start. */
    private static final class Start {
        final long sentMillis;

        /** Whether the worker's current incarnation still has to answer a stop. */
        boolean stopPending;

        long stopSentMillis;

        Start(long sentMillis) {
            this.sentMillis = sentMillis;
        }

        boolean isExpired(long nowMillis) {
            return nowMillis - sentMillis > MAX_DELAY_MILLIS;
        }
    }

    UnansweredStarts(OrderSender orders) {
        this.orders = orders;
    }

    /**
     * Records a sent start. If no answer arrives, the scheduler stops the run in the worker's
     * current incarnation.
     */
    void recordSent(WorkerId worker, TaskRef task, long run, long nowMillis) {
        starts.computeIfAbsent(worker, id -> new HashMap<>())
                .put(new Run(task, run), new Start(nowMillis));
    }

    /** Removes a start that was answered: it is carried out immediately or not at all. */
    void recordAnswer(WorkerId worker, TaskRef task, long run) {
        Map<Run, Start> workerStarts = starts.get(worker);
        if (workerStarts != null) {
            workerStarts.remove(new Run(task, run));
        }
    }

    /** Stops all unanswered starts of a worker that may have restarted. */
    void stopAll(WorkerId worker, long nowMillis) {
        Map<Run, Start> workerStarts = starts.getOrDefault(worker, Map.of());
        workerStarts.forEach((run, start) -> stop(worker, run, start, nowMillis));
    }

    /** Records that the worker answered a stop. */
    void recordStopAnswer(WorkerId worker, TaskRef task, long run) {
        Start start = starts.getOrDefault(worker, Map.of()).get(new Run(task, run));
        if (start != null) {
            start.stopPending = false;
        }
    }

    /** Resends unanswered stops and removes starts that are too old to be carried out. */
    void resendStops(long nowMillis) {
        for (Map.Entry<WorkerId, Map<Run, Start>> worker : starts.entrySet()) {
            worker.getValue().values().removeIf(start -> start.isExpired(nowMillis));
            worker.getValue()
                    .forEach((run, start) -> resendIfDue(worker.getKey(), run, start, nowMillis));
        }
        starts.values().removeIf(Map::isEmpty);
    }

    private void resendIfDue(WorkerId worker, Run run, Start start, long nowMillis) {
        if (start.stopPending && nowMillis - start.stopSentMillis >= STOP_RETRY_MILLIS) {
            stop(worker, run, start, nowMillis);
        }
    }

    private void stop(WorkerId worker, Run run, Start start, long nowMillis) {
        start.stopPending = true;
        start.stopSentMillis = nowMillis;
        orders.stop(worker, run.task(), run.number());
    }
}
