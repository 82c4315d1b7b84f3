package org.quetzalscale.daemon.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.schedule.FleetScheduler;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.tinylog.Logger;

/**
 * Deletes the rows of jobs that ended long ago. Until then a submission that comes again finds its
 * job.
 */
final class EndedJobs {
    /** Beyond the time for which the state of a job can be asked for. */
    private static final long MARGIN_MILLIS = 60_000;

    private static final long ROUND_MILLIS = 5_000;

    /** Longer than a read of all jobs takes, which may still list rows that are deleted. */
    private static final long DELETED_MILLIS = 60_000;

    /** Three rows each; a transaction takes at most 100 entries. */
    private static final int MAX_JOBS = 30;

    private final TransactionalTable table;
    private final LoopClock clock;
    private final Condition fence;
    private final WorkerSession.Term term;
    private final long retentionMillis;
    private final Map<JobId, Long> ended = new LinkedHashMap<>();
    private final Map<JobId, Long> deleted = new LinkedHashMap<>();

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

    /** A job's end is recorded. */
    void add(JobId id) {
        ended.putIfAbsent(id, clock.nowMillis());
    }

    /** Whether the job has ended, even if a list of jobs that was read before still holds it. */
    boolean contains(JobId id) {
        return ended.containsKey(id) || deleted.containsKey(id);
    }

    /** Deletes now and regularly until the term ends. */
    void round() {
        if (term.ended()) {
            return;
        }
        long now = clock.nowMillis();
        deleted.values().removeIf(since -> now - since >= DELETED_MILLIS);
        List<JobId> due = due();
        if (!due.isEmpty()) {
            delete(due);
        }
        clock.after(ROUND_MILLIS, this::round);
    }

    private List<JobId> due() {
        List<JobId> due = new ArrayList<>();
        for (Map.Entry<JobId, Long> entry : ended.entrySet()) {
            if (due.size() == MAX_JOBS || clock.nowMillis() - entry.getValue() < retentionMillis) {
                break;
            }
            due.add(entry.getKey());
        }
        return due;
    }

    private void delete(List<JobId> due) {
        Transaction.Builder transaction = Transaction.builder().require(fence);
        for (JobId id : due) {
            transaction.add(Mutation.delete(FleetRows.job(id)));
            transaction.add(Mutation.delete(FleetRows.cancellation(id)));
            transaction.add(Mutation.delete(FleetRows.progress(id)));
        }
        table.commit(transaction.build())
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null || !result.isCommitted()) {
                                Logger.warn("event=delete_failed jobs={}", due.size());
                                return;
                            }
                            FleetScheduler scheduler = term.scheduler();
                            for (JobId id : due) {
                                ended.remove(id);
                                deleted.put(id, clock.nowMillis());
                                scheduler.removeJob(id);
                            }
                        });
    }
}
