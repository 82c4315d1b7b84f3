package org.quetzalscale.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.daemon.fleet.WorkerSession.Cursor;
import org.tinylog.Logger;

/**
 * Writes the progress of jobs, one transaction at a time, and then lets the workers' ends be
 * acknowledged. Each write requires that the owner's lease has not been taken, and that no other
 * write came between: one without an answer may be carried out seconds later, and would put back
 * what a newer one has recorded.
 */
final class ProgressRecorder {
    /** The store takes at most 100 entries in a transaction. */
    private static final int MAX_ROWS = 80;

    private static final long RETRY_MILLIS = 50;
    private static final long UNKNOWN_VERSION = -1;

    /**
     * The rows of one transaction.
     *
     * @param from the first of the changed jobs that it writes
     * @param name tells whether it was carried out
     * @param seen the ends that may be acknowledged once all changed jobs are written
     */
    private record Batch(
            List<JobProgress> changed, int from, String name, Map<WorkerSession, Cursor> seen) {
        int end() {
            return Math.min(changed.size(), from + MAX_ROWS);
        }

        List<JobProgress> part() {
            return changed.subList(from, end());
        }
    }

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final FleetScheduler scheduler;
    private final Map<?, WorkerSession> sessions;
    private final Consumer<JobId> onEnded;
    private final Runnable onFenced;
    private boolean writing;
    private long batch;
    private long lastRecordVersion = UNKNOWN_VERSION;
    private boolean stopped;

    ProgressRecorder(
            TransactionalTable table,
            LoopClock clock,
            Condition fence,
            FleetScheduler scheduler,
            Map<?, WorkerSession> sessions,
            Consumer<JobId> onEnded,
            Runnable onFenced) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.scheduler = scheduler;
        this.sessions = sessions;
        this.onEnded = onEnded;
        this.onFenced = onFenced;
    }

    void stop() {
        stopped = true;
    }

    /** Writes what has changed, unless a write is under way; that one is followed by the next. */
    void flush() {
        if (writing || stopped) {
            return;
        }
        Map<WorkerSession, Cursor> seen = new HashMap<>();
        sessions.values().forEach(session -> seen.put(session, session.seenEnds()));
        if (!scheduler.hasChangedJobs()) {
            seen.forEach(WorkerSession::recorded);
            return;
        }
        writing = true;
        write(scheduler.takeChangedJobs(), 0, seen);
    }

    private void write(List<JobProgress> changed, int from, Map<WorkerSession, Cursor> seen) {
        batch++;
        attempt(new Batch(changed, from, fence.version() + ":" + batch, seen));
    }

    /** Sends the rows, on condition that no other transaction came after the last known one. */
    private void attempt(Batch rows) {
        if (stopped) {
            return;
        }
        if (lastRecordVersion == UNKNOWN_VERSION) {
            findLastRecord(rows);
            return;
        }
        Transaction.Builder transaction =
                Transaction.builder()
                        .require(fence)
                        .require(new Condition(FleetRows.LAST_RECORD, lastRecordVersion))
                        .put(FleetRows.LAST_RECORD, rows.name());
        for (JobProgress progress : rows.part()) {
            transaction.put(
                    FleetRows.progress(progress.job()), JobDocuments.PROGRESS.encode(progress));
        }
        table.commit(transaction.build())
                .whenComplete((result, failure) -> answered(rows, result, failure));
    }

    private void answered(Batch rows, CommitResult result, Throwable failure) {
        if (stopped) {
            return;
        }
        if (failure != null) {
            Logger.warn(
                    "event=record_failed rows={} cause=\"{}\"",
                    rows.part().size(),
                    QuetzalscaleException.from(failure).getMessage());
            lastRecordVersion = UNKNOWN_VERSION;
            clock.after(RETRY_MILLIS, () -> attempt(rows));
        } else if (result.isCommitted()) {
            lastRecordVersion = result.version();
            written(rows);
        } else if (result.conflict().equals(Optional.of(FleetRows.LAST_RECORD))) {
            lastRecordVersion = UNKNOWN_VERSION;
            attempt(rows);
        } else {
            onFenced.run();
        }
    }

    /** Learns whether an attempt without an answer was carried out. */
    private void findLastRecord(Batch rows) {
        table.read(FleetRows.LAST_RECORD)
                .whenComplete(
                        (row, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                clock.after(RETRY_MILLIS, () -> findLastRecord(rows));
                                return;
                            }
                            lastRecordVersion = row.map(Row::version).orElse(Condition.ABSENT);
                            if (row.map(Row::value).equals(Optional.of(rows.name()))) {
                                written(rows);
                            } else {
                                attempt(rows);
                            }
                        });
    }

    private void written(Batch rows) {
        for (JobProgress progress : rows.part()) {
            if (progress.phase().isFinal()) {
                onEnded.accept(progress.job());
                Logger.info("event=job_ended job={} phase={}", progress.job(), progress.phase());
            }
        }
        if (rows.end() < rows.changed().size()) {
            write(rows.changed(), rows.end(), rows.seen());
            return;
        }
        writing = false;
        rows.seen().forEach(WorkerSession::recorded);
        flush();
    }
}
