package org.quetzalscale.daemon.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableLimits;
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
 *
 * <p>Ends of a job whose rows the table rejects are acknowledged without a record: workers list few
 * unacknowledged ends, and would soon list none of the other jobs.
 */
final class ProgressRecorder {
    private static final long RETRY_DELAY_MILLIS = 50;
    private static final long UNKNOWN_VERSION = -1;

    /**
     * One transaction.
     *
     * @param name identifies the transaction, to find out whether it was committed
     * @param seenCursors finished runs that may be acknowledged once all changed jobs are written
     */
    private record Batch(
            List<ProgressQueue.Entry> rows, String name, Map<WorkerSession, Cursor> seenCursors) {}

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final FleetScheduler scheduler;
    private final Map<?, WorkerSession> sessions;
    private final FleetMetrics metrics;
    private final ProgressRows progressRows;
    private final ProgressQueue queue;
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
            FleetMetrics metrics,
            Consumer<JobId> onJobEnded,
            Runnable onFenced) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.scheduler = scheduler;
        this.sessions = sessions;
        this.metrics = metrics;
        this.progressRows = new ProgressRows(table.limits());
        this.queue = new ProgressQueue(progressRows, this::rowOf);
        this.onJobEnded = onJobEnded;
        this.onFenced = onFenced;
    }

    void stop() {
        stopped = true;
    }

    /**
     * Adds the rows of jobs that earlier owners recorded by ranges of tasks. Those of jobs that
     * have ended are deleted.
     */
    void addRecorded(RecordedProgress recorded) {
        recorded.ranges()
                .forEach(
                        (main, ranges) -> {
                            Optional<JobProgress> ended =
                                    recorded.of(FleetRows.jobOfProgress(main))
                                            .filter(progress -> progress.phase().isFinal());
                            if (ended.isPresent()) {
                                queue.addObsolete(ended.get(), ranges);
                            } else {
                                progressRows.addRecorded(main, ranges);
                            }
                        });
    }

    /** Writes the changed jobs. If a write is in progress, the next one follows it. */
    void flush() {
        if (writing || stopped) {
            return;
        }
        Map<WorkerSession, Cursor> seenCursors = new LinkedHashMap<>();
        sessions.values().forEach(session -> seenCursors.put(session, session.seenCursor()));
        long now = clock.nowMillis();
        if (!scheduler.hasChangedJobs() && !queue.hasRows(now)) {
            seenCursors.forEach(WorkerSession::recordedUpTo);
            return;
        }
        writing = true;
        queue.add(scheduler.takeChangedJobs(), now);
        writeNext(seenCursors);
    }

    private void writeNext(Map<WorkerSession, Cursor> seenCursors) {
        List<ProgressQueue.Entry> rows = queue.next();
        if (rows.isEmpty()) {
            writing = false;
            seenCursors.forEach(WorkerSession::recordedUpTo);
            flush();
            return;
        }
        lastBatch++;
        attempt(new Batch(rows, fence.version() + ":" + lastBatch, seenCursors));
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
                        .put(FleetRows.LAST_RECORD, batch.name());
        batch.rows().forEach(row -> transaction.add(row.mutation()));
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
            commitFailed(batch, QuetzalscaleException.from(failure));
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

    private void commitFailed(Batch batch, QuetzalscaleException error) {
        Logger.warn(
                "event=record_failed rows={} kind={} cause=\"{}\"",
                batch.rows().size(),
                error.kind().code(),
                error.getMessage());
        if (error.kind() == ErrorKind.STORE_REJECTED) {
            queue.rejected(batch.rows(), clock.nowMillis()).ifPresent(this::logRejected);
            writeNext(batch.seenCursors());
            return;
        }
        lastRecordVersion = UNKNOWN_VERSION;
        clock.after(RETRY_DELAY_MILLIS, () -> attempt(batch));
    }

    private void logRejected(ProgressQueue.Entry row) {
        metrics.recordRejected();
        Logger.error(
                "event=record_rejected job={} key={} bytes={}",
                row.progress().job(),
                row.mutation().key(),
                TableLimits.bytes(row.mutation().value().orElse("")));
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
                            if (row.map(Row::value).equals(Optional.of(batch.name()))) {
                                batchCommitted(batch);
                            } else {
                                attempt(batch);
                            }
                        });
    }

    private void batchCommitted(Batch batch) {
        for (ProgressQueue.Entry row : batch.rows()) {
            if (row.isEnd()) {
                JobProgress progress = row.progress();
                onJobEnded.accept(progress.job());
                Logger.info("event=job_ended job={} phase={}", progress.job(), progress.phase());
            }
        }
        writeNext(batch.seenCursors());
    }
}
