package org.quetzalscale.daemon.fleet;

import java.util.LinkedHashMap;
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
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.daemon.fleet.WorkerSession.Cursor;
import org.tinylog.Logger;

/**
 * Writes the progress of jobs, one transaction at a time, and then lets the sessions acknowledge
 * finished runs to their workers. Each write requires that the owner's lease has not been taken,
 * and that no other write was committed in between: a write without an answer may be carried out
 * seconds later, and would overwrite newer progress.
 */
final class ProgressRecorder {
    /** The store takes at most 100 entries in a transaction. */
    private static final int MAX_ROWS = 80;

    private static final long RETRY_DELAY_MILLIS = 50;
    private static final long UNKNOWN_VERSION = -1;

    /**
     * The rows of one transaction.
     *
     * @param fromIndex index of the first changed job that it writes
     * @param transactionName identifies the transaction, to find out whether it was committed
     * @param seenCursors finished runs that may be acknowledged once all changed jobs are written
     */
    private record Batch(
            List<JobProgress> changed,
            int fromIndex,
            String transactionName,
            Map<WorkerSession, Cursor> seenCursors) {
        int toIndex() {
            return Math.min(changed.size(), fromIndex + MAX_ROWS);
        }

        List<JobProgress> jobs() {
            return changed.subList(fromIndex, toIndex());
        }
    }

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final FleetScheduler scheduler;
    private final Map<?, WorkerSession> sessions;
    private final Consumer<JobId> onJobEnded;
    private final Runnable onFenced;
    private boolean writing;
    private long lastBatch;
    private long lastRecordVersion = UNKNOWN_VERSION;
    private boolean stopped;

    ProgressRecorder(
            TransactionalTable table,
            LoopClock clock,
            Condition fence,
            FleetScheduler scheduler,
            Map<?, WorkerSession> sessions,
            Consumer<JobId> onJobEnded,
            Runnable onFenced) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.scheduler = scheduler;
        this.sessions = sessions;
        this.onJobEnded = onJobEnded;
        this.onFenced = onFenced;
    }

    void stop() {
        stopped = true;
    }

    /** Writes the changed jobs. If a write is in progress, the next one follows it. */
    void flush() {
        if (writing || stopped) {
            return;
        }
        Map<WorkerSession, Cursor> seenCursors = new LinkedHashMap<>();
        sessions.values().forEach(session -> seenCursors.put(session, session.seenCursor()));
        if (!scheduler.hasChangedJobs()) {
            seenCursors.forEach(WorkerSession::recordedUpTo);
            return;
        }
        writing = true;
        write(scheduler.takeChangedJobs(), 0, seenCursors);
    }

    private void write(
            List<JobProgress> changed, int fromIndex, Map<WorkerSession, Cursor> seenCursors) {
        lastBatch++;
        attempt(new Batch(changed, fromIndex, fence.version() + ":" + lastBatch, seenCursors));
    }

    /**
     * Commits the rows, provided that no other transaction was committed after the last known one.
     */
    private void attempt(Batch batch) {
        if (stopped) {
            return;
        }
        if (lastRecordVersion == UNKNOWN_VERSION) {
            findLastRecord(batch);
            return;
        }
        Transaction.Builder transaction =
                Transaction.builder()
                        .require(fence)
                        .require(new Condition(FleetRows.LAST_RECORD, lastRecordVersion))
                        .put(FleetRows.LAST_RECORD, batch.transactionName());
        for (JobProgress progress : batch.jobs()) {
            transaction.put(rowOf(progress), JobRowCodecs.PROGRESS.encode(progress));
        }
        table.commit(transaction.build())
                .whenComplete(
                        (result, failure) ->
                                clock.runOrRetry(
                                        () -> commitAnswered(batch, result, failure),
                                        RETRY_DELAY_MILLIS,
                                        () -> attempt(batch)));
    }

    /** A row that cannot be read is overwritten only by the end of its job. */
    private RowKey rowOf(JobProgress progress) {
        JobId id = progress.job();
        return scheduler.isUnreadableJob(id) && !progress.phase().isFinal()
                ? FleetRows.progressWhileUnreadable(id)
                : FleetRows.progress(id);
    }

    private void commitAnswered(Batch batch, CommitResult result, Throwable failure) {
        if (stopped) {
            return;
        }
        if (failure != null) {
            Logger.warn(
                    "event=record_failed rows={} cause=\"{}\"",
                    batch.jobs().size(),
                    QuetzalscaleException.from(failure).getMessage());
            lastRecordVersion = UNKNOWN_VERSION;
            clock.after(RETRY_DELAY_MILLIS, () -> attempt(batch));
        } else if (result.isCommitted()) {
            lastRecordVersion = result.version();
            batchCommitted(batch);
        } else if (result.conflict().equals(Optional.of(FleetRows.LAST_RECORD))) {
            lastRecordVersion = UNKNOWN_VERSION;
            attempt(batch);
        } else {
            onFenced.run();
        }
    }

    /** Finds out whether an attempt without an answer was committed. */
    private void findLastRecord(Batch batch) {
        table.read(FleetRows.LAST_RECORD)
                .whenComplete(
                        (row, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                clock.after(RETRY_DELAY_MILLIS, () -> findLastRecord(batch));
                                return;
                            }
                            lastRecordVersion = row.map(Row::version).orElse(Condition.ABSENT);
                            if (row.map(Row::value).equals(Optional.of(batch.transactionName()))) {
                                batchCommitted(batch);
                            } else {
                                attempt(batch);
                            }
                        });
    }

    private void batchCommitted(Batch batch) {
        for (JobProgress progress : batch.jobs()) {
            if (progress.phase().isFinal()) {
                onJobEnded.accept(progress.job());
                Logger.info("event=job_ended job={} phase={}", progress.job(), progress.phase());
            }
        }
        if (batch.toIndex() < batch.changed().size()) {
            write(batch.changed(), batch.toIndex(), batch.seenCursors());
            return;
        }
        writing = false;
        batch.seenCursors().forEach(WorkerSession::recordedUpTo);
        flush();
    }
}
