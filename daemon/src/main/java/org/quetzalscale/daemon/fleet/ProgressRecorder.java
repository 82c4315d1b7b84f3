package org.quetzalscale.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.task.JobProgress;
import org.tinylog.Logger;

/**
 * Writes the progress of jobs, one transaction at a time, and then lets the workers' ends be
 * acknowledged. Each write requires that the owner's lease has not been taken.
 */
final class ProgressRecorder {
    /** The store takes at most 100 entries in a transaction. */
    private static final int MAX_ROWS = 80;

    private static final long RETRY_MILLIS = 50;

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final FleetScheduler scheduler;
    private final Map<?, WorkerSession> sessions;
    private final Consumer<JobId> onEnded;
    private final Runnable onFenced;
    private boolean writing;
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
        Map<WorkerSession, WorkerSession.Cursor> seen = new HashMap<>();
        sessions.values().forEach(session -> seen.put(session, session.seenEnds()));
        if (!scheduler.hasChanged()) {
            seen.forEach(WorkerSession::recorded);
            return;
        }
        writing = true;
        write(scheduler.takeChanged(), 0, seen);
    }

    private void write(
            List<JobProgress> changed, int from, Map<WorkerSession, WorkerSession.Cursor> seen) {
        if (stopped) {
            return;
        }
        int end = Math.min(changed.size(), from + MAX_ROWS);
        Transaction.Builder transaction = Transaction.builder().require(fence);
        for (JobProgress progress : changed.subList(from, end)) {
            transaction.put(
                    FleetRows.progress(progress.job()), JobDocuments.PROGRESS.encode(progress));
        }
        CompletionStage<CommitResult> commit = table.commit(transaction.build());
        commit.whenComplete(
                (result, failure) -> {
                    if (stopped) {
                        return;
                    }
                    if (failure != null) {
                        // The rows hold the same text when they are written twice.
                        Logger.warn(
                                "event=record_failed rows={} cause=\"{}\"",
                                end - from,
                                QuetzalscaleException.from(failure).getMessage());
                        clock.after(RETRY_MILLIS, () -> write(changed, from, seen));
                        return;
                    }
                    written(result, changed, end, seen);
                });
    }

    private void written(
            CommitResult result,
            List<JobProgress> changed,
            int end,
            Map<WorkerSession, WorkerSession.Cursor> seen) {
        if (!result.isCommitted()) {
            onFenced.run();
            return;
        }
        if (end < changed.size()) {
            write(changed, end, seen);
            return;
        }
        for (JobProgress progress : changed) {
            if (progress.phase().isFinal()) {
                onEnded.accept(progress.job());
                Logger.info("event=job_ended job={} phase={}", progress.job(), progress.phase());
            }
        }
        writing = false;
        seen.forEach(WorkerSession::recorded);
        flush();
    }
}
