package org.quetzalscale.daemon.fleet;

import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.Changes;
import org.quetzalscale.core.table.FeedTable;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.RowSnapshot;

/**
 * Reads the rows of jobs that are written after a snapshot, until the term ends, and all rows again
 * when the history is lost.
 */
final class JobFeed {
    private static final int FEED_WAIT_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 100;

    /** A read of the jobs, with its retries, is answered or fails much earlier. */
    private static final long MAX_SILENCE_MILLIS = 15_000;

    private final FeedTable table;
    private final LoopClock clock;
    private final WorkerSession.Term term;
    private final JobRows jobRows;
    private final RowReader reader;
    private long readMillis;

    /** Receives each row. */
    interface RowReader {
        /** Applies a row that was written. */
        void apply(RowKey key, long version, String value);
    }

    JobFeed(
            FeedTable table,
            LoopClock clock,
            WorkerSession.Term term,
            JobRows jobRows,
            RowReader reader) {
        this.table = table;
        this.clock = clock;
        this.term = term;
        this.jobRows = jobRows;
        this.reader = reader;
        this.readMillis = clock.nowMillis();
    }

    /** Whether no read has been answered or has failed for so long that none will. */
    boolean hasStopped(long nowMillis) {
        return nowMillis - readMillis >= MAX_SILENCE_MILLIS;
    }

    /** Reads the rows that are written after a version of the table. */
    void watch(long version) {
        if (term.ended()) {
            return;
        }
        readMillis = clock.nowMillis();
        table.changesAfter(FleetRows.JOBS, version, FEED_WAIT_MILLIS)
                .whenComplete(
                        (changes, failure) ->
                                clock.runOrRetry(
                                        () -> changed(version, changes, failure),
                                        RETRY_DELAY_MILLIS,
                                        () -> watch(version)));
    }

    private void changed(long version, Changes changes, Throwable failure) {
        if (term.ended()) {
            return;
        }
        if (failure == null) {
            changes.rows().forEach(this::apply);
            term.planSoon();
            watch(changes.version());
        } else if (StoreFailures.isHistoryLost(failure)) {
            reread();
        } else {
            clock.after(RETRY_DELAY_MILLIS, () -> watch(version));
        }
    }

    private void apply(ChangedRow row) {
        row.value().ifPresent(value -> reader.apply(row.key(), row.version(), value));
    }

    private void reread() {
        if (term.ended()) {
            return;
        }
        readMillis = clock.nowMillis();
        jobRows.read()
                .whenComplete(
                        (jobs, failure) ->
                                clock.runOrRetry(
                                        () -> reread(jobs, failure),
                                        RETRY_DELAY_MILLIS,
                                        this::reread));
    }

    private void reread(RowSnapshot jobs, Throwable failure) {
        if (failure != null) {
            clock.after(RETRY_DELAY_MILLIS, this::reread);
            return;
        }
        jobs.rows().forEach(row -> reader.apply(row.key(), row.version(), row.value()));
        term.planSoon();
        watch(jobs.version());
    }
}
