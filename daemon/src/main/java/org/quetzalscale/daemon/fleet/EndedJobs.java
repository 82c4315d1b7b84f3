package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.tinylog.Logger;

/**
 * Deletes the rows of ended jobs after their retention time. Until then a repeated submission finds
 * the existing job.
 */
final class EndedJobs {
    /** Added to the time for which the state of an ended job can be queried. */
    private static final long MARGIN_MILLIS = 60_000;

    private static final long DELETE_INTERVAL_MILLIS = 3_000;

    /** Time between transactions while more jobs are due. */
    private static final long NEXT_DELETE_MILLIS = 100;

    /**
     * How long deleted jobs are remembered: longer than a scan of all jobs takes, which may still
     * return rows that were deleted meanwhile.
     */
    private static final long DELETED_RETENTION_MILLIS = 60_000;

    /** Each job has at most six rows, and a transaction takes at most 100 entries. */
    private static final int MAX_JOBS_PER_TRANSACTION = 16;

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final WorkerSession.Term term;
    private final long retentionMillis;
    private final Map<JobId, Long> endedMillis = new LinkedHashMap<>();
    private final Map<JobId, Long> deletedMillis = new LinkedHashMap<>();

    EndedJobs(
            TransactionalTable table,
            LoopClock clock,
            Condition fence,
            WorkerSession.Term term,
            long statusRetentionMillis) {
        this.table = table;
        this.clock = clock;
        this.fence = fence;
        this.term = term;
        this.retentionMillis = statusRetentionMillis + MARGIN_MILLIS;
    }

    /** Adds a job whose end is recorded. */
    void add(JobId id) {
        endedMillis.putIfAbsent(id, clock.nowMillis());
    }

    /** Whether the job has ended, even if an earlier scan of the jobs still contains it. */
    boolean contains(JobId id) {
        return endedMillis.containsKey(id) || deletedMillis.containsKey(id);
    }

    /** Deletes the rows that are due, now and periodically until the term ends. */
    void deletePeriodically() {
        if (term.ended()) {
            return;
        }
        long now = clock.nowMillis();
        deletedMillis.values().removeIf(since -> now - since >= DELETED_RETENTION_MILLIS);
        List<JobId> due = due();
        if (due.isEmpty()) {
            clock.after(DELETE_INTERVAL_MILLIS, this::deletePeriodically);
        } else {
            delete(due);
        }
    }

    private List<JobId> due() {
        List<JobId> due = new ArrayList<>();
        for (Map.Entry<JobId, Long> entry : endedMillis.entrySet()) {
            if (due.size() == MAX_JOBS_PER_TRANSACTION
                    || clock.nowMillis() - entry.getValue() < retentionMillis) {
                break;
            }
            due.add(entry.getKey());
        }
        return due;
    }

    private void delete(List<JobId> due) {
        Transaction.Builder transaction = Transaction.builder().require(fence);
        for (JobId id : due) {
            for (RowKey job : List.of(FleetRows.job(id), FleetRows.jobOfEarlierRelease(id))) {
                transaction.add(Mutation.delete(job));
                transaction.add(Mutation.delete(FleetRows.cancellation(job)));
            }
            transaction.add(Mutation.delete(FleetRows.progress(id)));
            transaction.add(Mutation.delete(FleetRows.progressWhileUnreadable(id)));
        }
        table.commit(transaction.build())
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null || !result.isCommitted()) {
                                Logger.warn("event=delete_failed jobs={}", due.size());
                                clock.after(DELETE_INTERVAL_MILLIS, this::deletePeriodically);
                                return;
                            }
                            FleetScheduler scheduler = term.scheduler();
                            for (JobId id : due) {
                                endedMillis.remove(id);
                                deletedMillis.put(id, clock.nowMillis());
                                scheduler.removeJob(id);
                            }
                            // A fixed rate would fall behind callers whose jobs end faster.
                            boolean more = due.size() == MAX_JOBS_PER_TRANSACTION;
                            clock.after(
                                    more ? NEXT_DELETE_MILLIS : DELETE_INTERVAL_MILLIS,
                                    this::deletePeriodically);
                        });
    }
}
