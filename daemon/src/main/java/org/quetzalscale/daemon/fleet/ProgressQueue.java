package org.quetzalscale.daemon.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.TableLimits;
import org.quetzalscale.core.task.JobProgress;

/**
 * The rows of changed jobs that wait to be written, in order, and how many of them the next
 * transaction takes.
 *
 * <p>A job whose rows the table rejects is postponed, and the others go on: its rows would be
 * rejected again with every change, and keep the ends of all other jobs from being recorded.
 */
final class ProgressQueue {
    /** The store takes at most 100 entries in a transaction. */
    private static final int MAX_ROWS = 80;

    /** Text of a transaction, below the store's limit, so that it is sent within a call's time. */
    private static final int MAX_BYTES = 250_000;

    private static final long POSTPONED_MILLIS = 10_000;

    /** One row to change, and the progress that it is a part of. */
    record Entry(JobProgress progress, Mutation mutation) {
        /** Whether the row records the end of its job. */
        boolean isEnd() {
            return progress.phase().isFinal() && mutation.value().isPresent();
        }

        private int bytes() {
            String key = mutation.key().value();
            return key.length() + TableLimits.bytes(mutation.value().orElse(""));
        }
    }

    private record Postponed(JobProgress progress, long untilMillis) {}

    private final ProgressRows rows;
    private final Function<JobProgress, RowKey> rowOf;
    private final Deque<JobProgress> jobs = new ArrayDeque<>();
    private final Deque<Entry> entries = new ArrayDeque<>();
    private final Map<JobId, Postponed> postponed = new HashMap<>();

    /** Rows that are written one at a time, to find out which of them the table rejects. */
    private int single;

    /**
     * Creates an empty queue.
     *
     * @param rowOf the row of progress of a job
     */
    ProgressQueue(ProgressRows rows, Function<JobProgress, RowKey> rowOf) {
        this.rows = rows;
        this.rowOf = rowOf;
    }

    /** Adds changed jobs. Only the end of a postponed job is not postponed. */
    void add(Collection<JobProgress> changed, long nowMillis) {
        for (JobProgress progress : changed) {
            Postponed before = postponed.get(progress.job());
            if (before != null && !progress.phase().isFinal()) {
                postponed.put(progress.job(), new Postponed(progress, before.untilMillis()));
            } else {
                postponed.remove(progress.job());
                jobs.add(progress);
            }
        }
        takeDue(nowMillis);
    }

    private void takeDue(long nowMillis) {
        postponed
                .values()
                .removeIf(
                        job -> {
                            boolean due = job.untilMillis() <= nowMillis;
                            if (due) {
                                jobs.add(job.progress());
                            }
                            return due;
                        });
    }

    /** Deletes rows of a job whose end is recorded. */
    void addObsolete(JobProgress ended, Collection<RowKey> keys) {
        keys.forEach(key -> entries.add(new Entry(ended, Mutation.delete(key))));
    }

    /** Whether rows wait to be written now, besides those of jobs that have changed. */
    boolean hasRows(long nowMillis) {
        return !entries.isEmpty()
                || postponed.values().stream().anyMatch(job -> job.untilMillis() <= nowMillis);
    }

    /** Removes the rows of the next transaction; empty if nothing waits. */
    List<Entry> next() {
        List<Entry> batch = new ArrayList<>();
        int maxRows = single > 0 ? 1 : MAX_ROWS;
        int bytes = 0;
        while (batch.size() < maxRows && fill()) {
            bytes += entries.peek().bytes();
            if (!batch.isEmpty() && bytes > MAX_BYTES) {
                break;
            }
            batch.add(entries.poll());
        }
        single = Math.max(0, single - batch.size());
        return batch;
    }

    /** Whether a row waits; encodes the rows of the next job if there is none of an earlier one. */
    private boolean fill() {
        while (entries.isEmpty() && !jobs.isEmpty()) {
            JobProgress progress = jobs.poll();
            rows.changes(progress, rowOf.apply(progress))
                    .forEach(mutation -> entries.add(new Entry(progress, mutation)));
        }
        return !entries.isEmpty();
    }

    /**
     * Handles a transaction that the table rejected. Several rows are put back and written one at a
     * time. A single row is dropped with all others of its job, which is postponed.
     *
     * @return the row that was dropped
     */
    Optional<Entry> rejected(List<Entry> batch, long nowMillis) {
        if (batch.size() > 1) {
            for (int i = batch.size() - 1; i >= 0; i--) {
                entries.addFirst(batch.get(i));
            }
            single = batch.size();
            return Optional.empty();
        }
        Entry dropped = batch.get(0);
        JobProgress progress = dropped.progress();
        entries.removeIf(entry -> entry.progress().job().equals(progress.job()));
        rows.forgetTexts(rowOf.apply(progress));
        postponed.put(progress.job(), new Postponed(progress, nowMillis + POSTPONED_MILLIS));
        return Optional.of(dropped);
    }
}
