package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.WorkerFence;
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
 * Session of an owner with one worker: renews the worker's lease, reads its running and finished
 * runs and sends it orders.
 *
 * <p>Finished runs are acknowledged only after they are recorded, because a later owner learns of
 * an acknowledged run from the record alone.
 */
final class WorkerSession {
    /** The parts of the owner's term that a session uses. */
    interface Term {
        /** The scheduler of the term. */
        FleetScheduler scheduler();

        /** Requests a plan soon, because the scheduler has new input. */
        void planSoon();

        /** Reports that a worker or the platform follows a newer owner. */
        void fenced(String by);

        /** Whether the term has ended. */
        boolean ended();

        /** Whether the jobs are loaded, so that reports can be applied to the scheduler. */
        boolean jobsLoaded();

        /** The number of pauses of this process until now. */
        long pauses();
    }

    private static final int LONG_POLL_MILLIS = 1_000;

    /**
     * Time between renewals while the jobs are loaded, in which each renewal takes processor time
     * and bandwidth from the load. It leaves 2 s of a lease for a late renewal.
     */
    private static final long LOADING_RENEWAL_MILLIS = 3_000;

    private static final long RETRY_DELAY_MILLIS = 100;

    /**
     * How long the next renewal waits for finished runs to be recorded, so that it can acknowledge
     * them.
     */
    private static final long RECORD_WAIT_MILLIS = 40;

    private static final int MAX_STARTS_IN_FLIGHT = 6;

    private final Term term;
    private final WorkerCalls calls;
    private final FleetMetrics metrics;
    private final LoopClock clock;
    private final WorkerFence fence;
    private final WorkerLease lease;
    private final Queue<StartOrder> queuedStarts = new ArrayDeque<>();
    private Runnable onNextResult = () -> {};
    private WorkerEntry entry;
    private boolean registered = true;
    private boolean closed;
    private boolean renewing;
    private boolean unresponsive;
    private int startsInFlight;
    private long startedEpochMillis;
    private int incarnation;
    private long lastSeenNumber;
    private long lastRecordedNumber;

    /** Pauses of this process when the last answered renewal was sent. */
    private long pausesAtReport;

    private boolean reportApplied;

    /** Whether an applied report had all ends that were not acknowledged. */
    private boolean endsListed;

    /** Whether the latest report left out ends, which follow once those are acknowledged. */
    private boolean listCut;

    /** Whether the latest report could not be applied. */
    private boolean reportIgnored;

    private boolean awaitingRecord;
    private long awaitRecordUntilMillis;
    private boolean tasksReleased;
    private boolean workerEnded;

    /**
     * Creates a session.
     *
     * @param fence token of this owner for the worker, shared by all sessions with it
     * @param lease lease of the runs that an earlier owner started
     */
    WorkerSession(
            Term term,
            FleetContext context,
            WorkerEntry entry,
            WorkerFence fence,
            WorkerLease lease) {
        this.term = term;
        this.calls = context.calls();
        this.metrics = context.metrics();
        this.clock = context.clock();
        this.entry = entry;
        this.fence = fence;
        this.lease = lease;
    }

    /**
     * Calls the worker at once, unless a call is in progress.
     *
     * @param onResult called when the worker has answered, or the call has failed
     */
    void call(Runnable onResult) {
        onNextResult = onResult;
        renew();
    }

    /** Whether every run that an earlier owner started on the worker is known or has ended. */
    boolean formerRunsKnown(long nowMillis) {
        return endsListed || closed || lease.isOver(nowMillis);
    }

    void updateEntry(WorkerEntry newer) {
        entry = newer;
        registered = true;
    }

    void deregister() {
        registered = false;
    }

    /**
     * Closes the session of a worker that ended with its instance. The worker's entry may remain
     * for some time.
     */
    void end() {
        closed = true;
        workerEnded = true;
    }

    /**
     * Whether an entry is of the worker that has ended, and not of a later incarnation with its id.
     */
    boolean isOfEndedWorker(WorkerEntry candidate) {
        return workerEnded
                && candidate.startedEpochMillis()
                        <= Math.max(startedEpochMillis, entry.startedEpochMillis());
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Position in a worker's list of finished runs.
     *
     * @param incarnation counts the incarnations of the worker, each of which numbers its runs anew
     */
    record Cursor(int incarnation, long number) {}

    Cursor seenCursor() {
        return new Cursor(incarnation, lastSeenNumber);
    }

    /** Called when the finished runs up to the cursor are recorded. */
    void recordedUpTo(Cursor cursor) {
        if (cursor.incarnation() != incarnation) {
            return;
        }
        lastRecordedNumber = Math.max(lastRecordedNumber, cursor.number());
        if (awaitingRecord && lastRecordedNumber >= lastSeenNumber) {
            awaitingRecord = false;
            renew();
        }
    }

    void send(StartOrder order) {
        queuedStarts.add(order);
        sendStarts();
    }

    void stop(TaskRef task, long run) {
        // An order that is still queued was never sent, so the worker cannot carry it out.
        if (queuedStarts.removeIf(order -> order.task().equals(task) && order.run() == run)) {
            startAnswered(task, run, OrderAnswer.NOT_SENT);
            return;
        }
        long token = fence.current();
        calls.stop(entry, task, run, token)
                .thenAccept(
                        answer -> {
                            metrics.order("stop", answer.name());
                            if (isObsolete(answer, token)) {
                                return;
                            }
                            term.scheduler()
                                    .stopAnswered(entry.id(), task, run, answer, clock.nowMillis());
                        });
    }

    void pace(TaskRef task, long run, int percent) {
        long token = fence.current();
        calls.pace(entry, task, run, percent, token)
                .thenAccept(answer -> isObsolete(answer, token));
    }

    private void sendStarts() {
        while (startsInFlight < MAX_STARTS_IN_FLIGHT && !queuedStarts.isEmpty()) {
            StartOrder order = queuedStarts.poll();
            if (term.scheduler().isEvacuated(entry.zone())) {
                startAnswered(order.task(), order.run(), OrderAnswer.NOT_SENT);
                continue;
            }
            startsInFlight++;
            long leaseClockMillis = lease.extend(clock.nowMillis());
            long token = fence.current();
            calls.start(entry, order, leaseClockMillis, token)
                    .thenAccept(
                            answer -> {
                                startsInFlight--;
                                if (isObsolete(answer, token)) {
                                    return;
                                }
                                if (answer == OrderAnswer.UNKNOWN) {
                                    fence.raise();
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

    /**
     * Reports a newer owner, and returns whether the term or the session is over.
     *
     * @param token fencing token of the answered order
     */
    private boolean isObsolete(OrderAnswer answer, long token) {
        if (answer == OrderAnswer.FENCED && !fence.wasRaisedAfter(token)) {
            term.fenced(entry.id().value());
        }
        return term.ended() || closed;
    }

    private void renew() {
        if (renewing || closed || term.ended()) {
            return;
        }
        renewing = true;
        long sentMillis = clock.nowMillis();
        // Runs on a worker that is silent before its first applied report, or whose report cannot
        // be applied, are not prolonged, because all recovered jobs may wait for their end. Nor are
        // those on a silent worker without an entry, which is probably gone.
        boolean extending =
                lease.isClockKnown()
                        && !reportIgnored
                        && (!unresponsive || reportApplied && registered);
        long leaseUntilClockMillis = extending ? lease.extend(sentMillis) : 0;
        // Does not wait for new finished runs while some are unacknowledged, because the worker
        // would list those again at once, nor while the worker may have restarted, which has to be
        // known soon.
        long pauses = term.pauses();
        boolean mayHaveRestarted = mayHaveRestarted(pauses);
        boolean longPoll =
                term.jobsLoaded()
                        && lease.isClockKnown()
                        && !mayHaveRestarted
                        && !listCut
                        && lastRecordedNumber == lastSeenNumber;
        int waitMillis = longPoll ? LONG_POLL_MILLIS : 0;
        long token = fence.current();
        long acknowledged = mayHaveRestarted ? 0 : lastRecordedNumber;
        calls.renew(entry, leaseUntilClockMillis, acknowledged, waitMillis, token)
                .whenComplete(
                        (report, failure) -> {
                            renewing = false;
                            clock.runOrRetry(
                                    () -> {
                                        pausesAtReport = pauses;
                                        renewalAnswered(report, failure, sentMillis, token);
                                    },
                                    RETRY_DELAY_MILLIS,
                                    this::renew);
                        });
    }

    /**
     * Whether the worker may have restarted since the report that was handled last, and numbers its
     * finished runs anew: it has been silent, its entry shows a later start, or this process was
     * paused and cannot tell how old that report is.
     */
    private boolean mayHaveRestarted(long pauses) {
        return unresponsive
                || pauses != pausesAtReport
                || startedEpochMillis != 0 && entry.startedEpochMillis() > startedEpochMillis;
    }

    private void renewalAnswered(
            WorkerReport report, Throwable failure, long sentMillis, long token) {
        Runnable onResult = onNextResult;
        onNextResult = () -> {};
        onResult.run();
        if (term.ended() || closed) {
            return;
        }
        if (failure == null) {
            handleReportOrLog(report, sentMillis);
        } else {
            renewalFailed(QuetzalscaleException.from(failure), token);
        }
    }

    /**
     * An exception costs this report. The next renewal reads the worker's lists again, and
     * acknowledges nothing that was not recorded.
     */
    private void handleReportOrLog(WorkerReport report, long sentMillis) {
        try {
            handleReport(report, sentMillis);
        } catch (RuntimeException e) {
            lastSeenNumber = lastRecordedNumber;
            reportIgnored = true;
            Logger.error(e, "event=report_ignored worker={}", entry.id());
            clock.after(RETRY_DELAY_MILLIS, this::renew);
        }
    }

    private void handleReport(WorkerReport report, long sentMillis) {
        long now = clock.nowMillis();
        if (startedEpochMillis != 0
                && report.startedEpochMillis() != 0
                && startedEpochMillis != report.startedEpochMillis()) {
            Logger.info("event=worker_restarted worker={} born={}", entry.id(), startedEpochMillis);
            lastSeenNumber = 0;
            lastRecordedNumber = 0;
            incarnation++;
        }
        if (report.startedEpochMillis() != 0) {
            startedEpochMillis = report.startedEpochMillis();
        }
        boolean first = !lease.isClockKnown();
        lease.setClock(report.clockMillis(), now);
        tasksReleased = false;
        if (unresponsive) {
            unresponsive = false;
            Logger.info("event=worker_back worker={}", entry.id());
        }
        if (!term.jobsLoaded()) {
            scheduleRenewal(first ? 0 : LOADING_RENEWAL_MILLIS);
            return;
        }
        List<FinishedRun> newlyFinished =
                report.finished().stream().filter(end -> end.number() > lastSeenNumber).toList();
        for (FinishedRun end : newlyFinished) {
            lastSeenNumber = Math.max(lastSeenNumber, end.number());
            logFinishedRun(end);
        }
        term.scheduler().handleReport(entry.id(), report, newlyFinished, sentMillis, now);
        reportApplied = true;
        reportIgnored = false;
        endsListed |= report.allFinished();
        term.planSoon();
        listCut = !report.allFinished();
        if (first || newlyFinished.isEmpty()) {
            boolean listedAgain = lastRecordedNumber < lastSeenNumber || listCut;
            scheduleRenewal(listedAgain && !first ? RETRY_DELAY_MILLIS : 0);
            return;
        }
        // Waits until the finished runs are recorded, but not for long: renewals continue while
        // the store is unavailable.
        awaitingRecord = true;
        awaitRecordUntilMillis = now + RECORD_WAIT_MILLIS;
        clock.after(RECORD_WAIT_MILLIS, this::renewOverdue);
    }

    private void logFinishedRun(FinishedRun end) {
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

    private void scheduleRenewal(long delayMillis) {
        if (delayMillis == 0) {
            renew();
        } else {
            clock.after(delayMillis, this::renew);
        }
    }

    private void renewalFailed(QuetzalscaleException error, long token) {
        if (error.kind() == ErrorKind.LEASE_LOST) {
            if (fence.wasRaisedAfter(token)) {
                renew();
            } else {
                term.fenced(entry.id().value());
            }
            return;
        }
        long now = clock.nowMillis();
        // Rejects this call if it is carried out late, with its acknowledgement.
        fence.raise();
        if (!unresponsive) {
            unresponsive = true;
            Logger.warn(
                    "event=worker_silent worker={} cause=\"{}\"", entry.id(), error.getMessage());
            term.scheduler().setUnresponsive(entry.id(), true, now);
        }
        boolean runsOver = lease.isOver(now) || error.kind() == ErrorKind.INVALID_STATE;
        if (runsOver && !registered) {
            closed = true;
        }
        if (runsOver && !tasksReleased) {
            tasksReleased = true;
            Logger.info("event=worker_emptied worker={} listed={}", entry.id(), registered);
            if (error.kind() == ErrorKind.INVALID_STATE) {
                term.scheduler().workerEnded(entry.id(), now);
            } else {
                term.scheduler().releaseTasks(entry.id(), now);
            }
            term.planSoon();
        }
        clock.after(RETRY_DELAY_MILLIS, this::renew);
    }
}
