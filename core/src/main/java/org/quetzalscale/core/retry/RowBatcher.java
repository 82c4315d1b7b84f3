package org.quetzalscale.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.Delay;
import org.quetzalscale.core.time.TimeSource;

/**
 * Joins writes of independent rows in transactions, to spare the table's write rate. A conflict of
 * one row does not fail the other rows of its transaction. Safe for several threads.
 */
final class RowBatcher {
    /** Least time between two transactions, in milliseconds. */
    static final long PERIOD_MILLIS = 5;

    /** Most rows in a transaction. */
    static final int MAX_ROWS = 64;

    private static final int MAX_DOUBTS = 5;
    private static final long READ_BACK_MILLIS = 50;

    private final TransactionalTable table;
    private final TimeSource time;
    private final Delay delay;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<RowWrite> pending = new ArrayDeque<>();
    private boolean isScheduled;
    private long nextMillis = Long.MIN_VALUE / 2;

    RowBatcher(TransactionalTable table, TimeSource time, Delay delay) {
        this.table = table;
        this.time = time;
        this.delay = delay;
    }

    /**
     * Adds a write to the next batch. The stage fails with STORE_UNAVAILABLE if it did not take
     * effect, or with STORE_OUTCOME_UNKNOWN if repeated reads did not tell.
     */
    CompletionStage<RowWrite.Result> submit(RowWrite write) {
        lock.lock();
        try {
            pending.add(write);
            schedule();
        } finally {
            lock.unlock();
        }
        return write.result;
    }

    private void schedule() {
        if (!isScheduled && !pending.isEmpty()) {
            isScheduled = true;
            delay.after(Math.max(0, nextMillis - time.nowMillis()), this::flush);
        }
    }

    private void flush() {
        List<RowWrite> batch;
        lock.lock();
        try {
            isScheduled = false;
            nextMillis = time.nowMillis() + PERIOD_MILLIS;
            batch = takeBatch();
            schedule();
        } finally {
            lock.unlock();
        }
        if (batch.isEmpty()) {
            return;
        }
        List<Condition> conditions = new ArrayList<>();
        List<Mutation> mutations = new ArrayList<>();
        for (RowWrite write : batch) {
            conditions.add(write.condition);
            mutations.add(write.mutation);
        }
        table.commit(new Transaction(conditions, mutations))
                .whenComplete((result, failure) -> settle(batch, result, failure));
    }

    /** Takes writes of different rows; a second write of a row waits for the next batch. */
    private List<RowWrite> takeBatch() {
        Map<RowKey, RowWrite> batch = new LinkedHashMap<>();
        Iterator<RowWrite> writes = pending.iterator();
        while (writes.hasNext() && batch.size() < MAX_ROWS) {
            RowWrite write = writes.next();
            if (batch.putIfAbsent(write.key(), write) == null) {
                writes.remove();
            }
        }
        return List.copyOf(batch.values());
    }

    private void settle(List<RowWrite> batch, CommitResult result, Throwable failure) {
        if (failure == null && result.isCommitted()) {
            batch.forEach(w -> w.result.complete(new RowWrite.Result(true, Optional.empty())));
            return;
        }
        boolean inDoubt = failure != null;
        if (inDoubt) {
            QuetzalscaleException cause = QuetzalscaleException.from(failure);
            if (cause.kind() != ErrorKind.STORE_OUTCOME_UNKNOWN) {
                // A write of an earlier, doubtful commit may still take effect.
                batch.forEach(w -> fail(w, w.doubts > 0 ? unknown() : cause));
                return;
            }
        }
        batch.forEach(write -> readBack(write, inDoubt));
    }

    private void readBack(RowWrite write, boolean inDoubt) {
        if (inDoubt && ++write.doubts > MAX_DOUBTS) {
            fail(write, unknown());
            return;
        }
        table.read(write.key())
                .whenComplete(
                        (row, failure) -> {
                            if (failure == null) {
                                resolve(write, row);
                            } else if (++write.doubts > MAX_DOUBTS) {
                                fail(write, unknown());
                            } else {
                                delay.after(READ_BACK_MILLIS, () -> readBack(write, false));
                            }
                        });
    }

    /** Ends a write, or repeats it under the same condition, so that it takes effect once. */
    private void resolve(RowWrite write, Optional<Row> row) {
        if (write.tookEffect.test(row)) {
            write.result.complete(new RowWrite.Result(true, Optional.empty()));
        } else if (write.isStillPossible(row)) {
            submit(write);
        } else {
            write.result.complete(new RowWrite.Result(false, row));
        }
    }

    private static void fail(RowWrite write, QuetzalscaleException failure) {
        write.result.completeExceptionally(failure);
    }

    private static QuetzalscaleException unknown() {
        return new QuetzalscaleException(
                ErrorKind.STORE_OUTCOME_UNKNOWN,
                "the table does not tell whether a write took effect");
    }
}
