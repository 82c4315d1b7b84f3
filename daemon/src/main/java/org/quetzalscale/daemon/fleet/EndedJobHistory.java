package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.task.JobDefinition;

/**
 * Rows of jobs that ended before a term began. They count against the rate of their organisations,
 * and what is waiting is within the rate or beyond it because of them. They are decoded after the
 * term has begun, since a takeover must not wait for them.
 */
final class EndedJobHistory {
    /**
     * How much history before the first waiting job counts: a bucket that starts full after a
     * longer time has lost its surplus if the organisation exceeds its rate by half.
     */
    private static final long HISTORY_MILLIS = 15_000;

    private static final int ROWS_PER_TURN = 50;
    private static final long TURN_INTERVAL_MILLIS = 20;

    private final LoopClock clock;
    private final WorkerSession.Term term;
    private List<EndedRow> rows = new ArrayList<>();

    private record EndedRow(RowKey key, long version, String value) {}

    EndedJobHistory(LoopClock clock, WorkerSession.Term term) {
        this.clock = clock;
        this.term = term;
    }

    /** Adds a row of an ended job, unless it is a cancellation or the term has begun. */
    void add(RowKey key, long version, String value) {
        if (!term.jobsLoaded() && !FleetRows.isCancellation(key)) {
            rows.add(new EndedRow(key, version, value));
        }
    }

    /** Decodes the rows in several turns of the loop, the newest first, and forgets them. */
    void decode() {
        Optional<Long> first =
                term.scheduler().firstAcceptedEpochMillis(clock.epochMillis().getAsLong());
        rows.sort(Comparator.comparingLong(EndedRow::version).reversed());
        if (first.isPresent()) {
            decode(rows, first.get() - HISTORY_MILLIS);
        }
        rows = new ArrayList<>();
    }

    private void decode(List<EndedRow> newestFirst, long fromEpochMillis) {
        if (term.ended() || newestFirst.isEmpty()) {
            return;
        }
        int turn = Math.min(ROWS_PER_TURN, newestFirst.size());
        boolean anyInTime = false;
        for (EndedRow row : newestFirst.subList(0, turn)) {
            Optional<JobDefinition> job =
                    StoreFailures.decodeOrLog(
                            row.key(), () -> JobRowCodecs.DEFINITION.decode(row.value()));
            job.ifPresent(term.scheduler()::addEndedJob);
            anyInTime |=
                    job.filter(known -> known.acceptedEpochMillis() >= fromEpochMillis).isPresent();
        }
        if (anyInTime) {
            List<EndedRow> older = newestFirst.subList(turn, newestFirst.size());
            clock.after(TURN_INTERVAL_MILLIS, () -> decode(older, fromEpochMillis));
        }
    }
}
