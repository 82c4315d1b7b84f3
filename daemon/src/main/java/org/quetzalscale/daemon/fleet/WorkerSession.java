package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.task.FinishedRun;
import org.quetzalscale.core.task.OrderAnswer;
import org.quetzalscale.core.task.RunEnd;
import org.quetzalscale.core.task.StartOrder;
import org.quetzalscale.core.task.TaskRef;
import org.quetzalscale.core.task.WorkerCalls;
import org.quetzalscale.core.task.WorkerEntry;
import org.quetzalscale.core.task.WorkerReport;
import org.tinylog.Logger;

/**
 * An owner's session with one worker: renews its lease, reads its lists and sends it orders.
 *
 * <p>Ends are acknowledged only after they are recorded, because a later owner learns of an
 * acknowledged end from the record alone.
 */
final class WorkerSession {
    /** What the session needs of the owner's term. */
    interface Term {
        /** The scheduler of the term. */
        FleetScheduler scheduler();

        /** The scheduler has something new to decide on. */
        void planSoon();

        /** A worker or the platform follows a newer owner. */
        void fenced(String by);

        /** Whether the term has ended. */
        boolean ended();
    }

    /** How long runs go on without a renewal, on the worker's clock. */
    private static final long LEASE_MILLIS = 5_000;

    /** The lease on the owner's clock: workers' clocks may be 2% slow. */
    private static final long LEASE_BOUND_MILLIS = LEASE_MILLIS * 102 / 100 + 100;

    /** Time in which a former owner learns that its lease was taken. */
    private static final long FENCE_NOTICE_MILLIS = 1_500;

    private static final int WAIT_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 100;

    /** How long a new call waits for ends to be recorded, so that it can acknowledge them. */
    private static final long RECORD_WAIT_MILLIS = 40;

    private static final int MAX_STARTS_IN_FLIGHT = 6;

    private final Term term;
    private final WorkerCalls calls;
    private final FleetMetrics metrics;
    private final LoopClock clock;
    private final long fence;
    private final Queue<StartOrder> starts = new ArrayDeque<>();
    private WorkerEntry entry;
    private boolean listed = true;
    private boolean closed;
    private boolean renewing;
    private boolean silent;
    private int startsInFlight;
    private long born;
    private int incarnation;
    private long seenEnds;
    private long recordedEnds;
    private long clockOffsetMillis;
    private boolean clockKnown;
    private long leaseUntilMillis;
    private boolean awaitingRecord;
    private long awaitRecordUntilMillis;
    private boolean emptied;
    private boolean ended;

    /**
     * Creates a session.
     *
     * @param inheritedLeaseMillis until when runs of an earlier owner may go on without this one
     */
    WorkerSession(
            Term term,
            FleetContext context,
            WorkerEntry entry,
            long fence,
            long inheritedLeaseMillis) {
        this.term = term;
        this.calls = context.calls();
        this.metrics = context.metrics();
        this.clock = context.clock();
        this.entry = entry;
        this.fence = fence;
        this.leaseUntilMillis = inheritedLeaseMillis;
    }

    /**
     * How long runs of an earlier owner may go on after its lease was taken: it renews its workers
     * until it learns of that from one of them or from the store.
     */
    static long inheritedBoundMillis() {
        return LEASE_BOUND_MILLIS + FENCE_NOTICE_MILLIS;
    }

    void start() {
        renew();
    }

    void update(WorkerEntry newer) {
        entry = newer;
        listed = true;
    }

    void unlisted() {
        listed = false;
    }

    /** The worker has ended with its instance; its entry may be listed for some time yet. */
    void end() {
        closed = true;
        ended = true;
    }

    /** Whether an entry is of the worker that has ended, and not of a later one with its id. */
    boolean hasEnded(WorkerEntry listedEntry) {
        return ended
                && listedEntry.startedEpochMillis() <= Math.max(born, entry.startedEpochMillis());
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * How far a worker's list of ends was passed on.
     *
     * @param incarnation counts the incarnations, in each of which numbers begin anew
     */
    record Cursor(int incarnation, long number) {}

    Cursor seenEnds() {
        return new Cursor(incarnation, seenEnds);
    }

    /** The ends up to the cursor are recorded. */
    void recorded(Cursor cursor) {
        if (cursor.incarnation() != incarnation) {
            return;
        }
        recordedEnds = Math.max(recordedEnds, cursor.number());
        if (awaitingRecord && recordedEnds >= seenEnds) {
            awaitingRecord = false;
            renew();
        }
    }

    void send(StartOrder order) {
        starts.add(order);
        sendStarts();
    }

    void stop(TaskRef task, long run) {
        // An order that is still queued here can not be carried out.
        if (starts.removeIf(order -> order.task().equals(task) && order.run() == run)) {
            startAnswered(task, run, OrderAnswer.NOT_SENT);
            return;
        }
        calls.stop(entry, task, run, fence)
                .thenAccept(
                        answer -> {
                            metrics.order("stop", answer.name());
                            if (isOver(answer)) {
                                return;
                            }
                            term.scheduler()
                                    .stopAnswered(entry.id(), task, run, answer, clock.nowMillis());
                        });
    }

    void pace(TaskRef task, long run, int percent) {
        calls.pace(entry, task, run, percent, fence).thenAccept(this::isOver);
    }

    private void sendStarts() {
        while (startsInFlight < MAX_STARTS_IN_FLIGHT && !starts.isEmpty()) {
            StartOrder order = starts.poll();
            startsInFlight++;
            extendLease();
            calls.start(entry, order, leaseClockMillis(), fence)
                    .thenAccept(
                            answer -> {
                                startsInFlight--;
                                if (isOver(answer)) {
                                    return;
                                }
                                startAnswered(order.task(), order.run(), answer);
                                sendStarts();
                            });
        }
    }

    private void startAnswered(TaskRef task, long run, OrderAnswer answer) {
        metrics.order("start", answer.name());
        if (answer != OrderAnswer.ACCEPTED) {
            Logger.info(
                    "event=start_refused task={} run={} worker={} answer={}",
                    task,
                    run,
                    entry.id(),
                    answer);
        }
        term.scheduler().startAnswered(entry.id(), task, run, answer, clock.nowMillis());
        if (answer != OrderAnswer.ACCEPTED) {
            term.planSoon();
        }
    }

    private boolean isOver(OrderAnswer answer) {
        if (answer == OrderAnswer.FENCED) {
            term.fenced(entry.id().value());
        }
        return term.ended() || closed;
    }

    private long leaseClockMillis() {
        return clock.nowMillis() + clockOffsetMillis + LEASE_MILLIS;
    }

    private void extendLease() {
        leaseUntilMillis = Math.max(leaseUntilMillis, clock.nowMillis() + LEASE_BOUND_MILLIS);
    }

    private void renew() {
        if (renewing || closed || term.ended()) {
            return;
        }
        renewing = true;
        long sentMillis = clock.nowMillis();
        long lease = clockKnown ? leaseClockMillis() : 0;
        if (clockKnown) {
            extendLease();
        }
        // Ends that are not acknowledged would be listed again at once. A worker that was silent
        // may
        // have begun a new life, which has to be known soon.
        boolean quiet = clockKnown && !silent && recordedEnds == seenEnds;
        int wait = quiet ? WAIT_MILLIS : 0;
        calls.renew(entry, lease, recordedEnds, wait, fence)
                .whenComplete(
                        (report, failure) -> {
                            renewing = false;
                            if (term.ended() || closed) {
                                return;
                            }
                            if (failure == null) {
                                reported(report, sentMillis);
                            } else {
                                failed(QuetzalscaleException.from(failure));
                            }
                        });
    }

    private void reported(WorkerReport report, long sentMillis) {
        long now = clock.nowMillis();
        if (born != 0 && report.startedEpochMillis() != 0 && born != report.startedEpochMillis()) {
            Logger.info("event=worker_restarted worker={} born={}", entry.id(), born);
            seenEnds = 0;
            recordedEnds = 0;
            incarnation++;
        }
        born = report.startedEpochMillis();
        clockOffsetMillis = report.clockMillis() - now;
        boolean first = !clockKnown;
        clockKnown = true;
        emptied = false;
        if (silent) {
            silent = false;
            Logger.info("event=worker_back worker={}", entry.id());
        }
        List<FinishedRun> ends =
                report.finished().stream().filter(end -> end.number() > seenEnds).toList();
        for (FinishedRun end : ends) {
            seenEnds = Math.max(seenEnds, end.number());
            ended(end);
        }
        term.scheduler().handleReport(entry.id(), report, ends, sentMillis, now);
        term.planSoon();
        if (first || ends.isEmpty()) {
            next(ends.isEmpty() && !first && recordedEnds < seenEnds ? RETRY_MILLIS : 0);
            return;
        }
        // Waits until the ends are recorded; a store that is away must not stop the renewals.
        awaitingRecord = true;
        awaitRecordUntilMillis = now + RECORD_WAIT_MILLIS;
        clock.after(RECORD_WAIT_MILLIS, this::renewOverdue);
    }

    private void ended(FinishedRun end) {
        metrics.runEnded(end.end().name());
        if (end.end() != RunEnd.DONE) {
            Logger.info(
                    "event=run_ended task={} run={} worker={} end={}",
                    end.task(),
                    end.run(),
                    entry.id(),
                    end.end());
        }
    }

    private void renewOverdue() {
        if (awaitingRecord && clock.nowMillis() >= awaitRecordUntilMillis) {
            awaitingRecord = false;
            renew();
        }
    }

    private void next(long delayMillis) {
        if (delayMillis == 0) {
            renew();
        } else {
            clock.after(delayMillis, this::renew);
        }
    }

    private void failed(QuetzalscaleException error) {
        if (error.kind() == ErrorKind.LEASE_LOST) {
            term.fenced(entry.id().value());
            return;
        }
        long now = clock.nowMillis();
        if (!silent) {
            silent = true;
            Logger.warn(
                    "event=worker_silent worker={} cause=\"{}\"", entry.id(), error.getMessage());
            term.scheduler().setUnresponsive(entry.id(), true, now);
        }
        boolean over = now >= leaseUntilMillis || error.kind() == ErrorKind.INVALID_STATE;
        if (over && !listed) {
            closed = true;
        }
        if (over && !emptied) {
            emptied = true;
            Logger.info("event=worker_emptied worker={} listed={}", entry.id(), listed);
            term.scheduler().releaseTasks(entry.id(), now);
            term.planSoon();
        }
        clock.after(RETRY_MILLIS, this::renew);
    }
}
