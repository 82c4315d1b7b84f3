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
 * Combines writes of independent rows into transactions to reduce the number of writes to the
 * table. A conflict on one row does not fail the other rows of its transaction. Thread-safe.
 */
final class RowBatcher {
    /** Minimum time between two transactions, in milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 5;

    /** Maximum number of rows in a transaction. */
    static final int MAX_ROWS = 64;

    private static final int MAX_UNKNOWN_RESULTS = 5;
    private static final long READ_BACK_DELAY_MILLIS = 50;

    private final TransactionalTable table;
    private final TimeSource time;
    private final Delay delay;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<RowWrite> pending = new ArrayDeque<>();
    private boolean isScheduled;
    private long nextBatchMillis = Long.MIN_VALUE / 2;

    RowBatcher(TransactionalTable table, TimeSource time, Delay delay) {
        this.table = table;
        this.time = time;
        this.delay = delay;
    }

    /**
     * Adds a write to the next batch. The stage fails with STORE_UNAVAILABLE if the write did not
     * take effect, or with STORE_OUTCOME_UNKNOWN if that is still unknown after repeated reads.
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
            delay.after(Math.max(0, nextBatchMillis - time.nowMillis()), this::flush);
        }
    }

    private void flush() {
        List<RowWrite> batch;
        lock.lock();
        try {
            isScheduled = false;
            nextBatchMillis = time.nowMillis() + MIN_INTERVAL_MILLIS;
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
                .whenComplete((result, failure) -> handleCommitResult(batch, result, failure));
    }

    /** Removes the next batch from the queue. A second write of the same row stays in the queue. */
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

    private void handleCommitResult(List<RowWrite> batch, CommitResult result, Throwable failure) {
        if (failure == null && result.isCommitted()) {
            batch.forEach(w -> w.result.complete(new RowWrite.Result(true, Optional.empty())));
            return;
        }
        boolean isResultUnknown = failure != null;
        if (isResultUnknown) {
            QuetzalscaleException cause = QuetzalscaleException.from(failure);
            if (cause.kind() != ErrorKind.STORE_OUTCOME_UNKNOWN) {
                // A write that was part of an earlier commit with an unknown result may still take
                // effect.
                batch.forEach(w -> fail(w, w.unknownResults > 0 ? outcomeUnknown() : cause));
                return;
            }
        }
        batch.forEach(write -> readBack(write, isResultUnknown));
    }

    private void readBack(RowWrite write, boolean isResultUnknown) {
        if (isResultUnknown && ++write.unknownResults > MAX_UNKNOWN_RESULTS) {
            fail(write, outcomeUnknown());
            return;
        }
        table.read(write.key())
                .whenComplete(
                        (row, failure) -> {
                            if (failure == null) {
                                resolve(write, row);
                            } else if (++write.unknownResults > MAX_UNKNOWN_RESULTS) {
                                fail(write, outcomeUnknown());
                            } else {
                                delay.after(READ_BACK_DELAY_MILLIS, () -> readBack(write, false));
                            }
                        });
    }

    /**
     * Completes a write after its row was read, or submits it again with the same condition, so
     * that it takes effect at most once.
     */
    private void resolve(RowWrite write, Optional<Row> row) {
        if (write.tookEffect.test(row)) {
            write.result.complete(new RowWrite.Result(true, Optional.empty()));
        } else if (write.conditionHolds(row)) {
            submit(write);
        } else {
            write.result.complete(new RowWrite.Result(false, row));
        }
    }

    private static void fail(RowWrite write, QuetzalscaleException failure) {
        write.result.completeExceptionally(failure);
    }

    private static QuetzalscaleException outcomeUnknown() {
        return new QuetzalscaleException(
                ErrorKind.STORE_OUTCOME_UNKNOWN,
                "it is unknown whether a write took effect in the table");
    }
}
