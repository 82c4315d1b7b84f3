package org.quetzalscale.core.lease;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;

/**
 * Acquires, renews and gives back one lease.
 *
 * <p>An instance takes the lease over when it has seen the row unchanged for the whole lease time
 * on its own monotonic clock, so clocks need no synchronisation. Two rows are used: {@code
 * lease/<name>} changes with each renewal, {@code lease/<name>/epoch} only when the holder changes;
 * the version of the latter fences the holder's writes.
 */
public final class LeaseKeeper {
    /** Time after which an unchanged lease may be taken over, in milliseconds. */
    public static final long LEASE_MILLIS = 6_000;

    /** Time between renewals, in milliseconds. */
    public static final long RENEW_MILLIS = 2_000;

    private final TransactionalTable table;
    private final RowCodec<LeaseRow> codec;
    private final RowKey leaseKey;
    private final RowKey epochKey;
    private final InstanceId self;
    private final TimeSource time;
    private final long leaseMillis;
    private final Predicate<String> hasEnded;
    private final ReentrantLock lock = new ReentrantLock();

    private long seenVersion = -1;
    private long seenSinceMillis;
    private Lease held;
    private long heldUntilMillis;
    private boolean busy;

    /**
     * Creates a keeper that holds nothing, with the lease time {@link #LEASE_MILLIS}.
     *
     * @param name name of the lease, such as {@code jobs}
     */
    public LeaseKeeper(
            TransactionalTable table,
            RowCodec<LeaseRow> codec,
            String name,
            InstanceId self,
            TimeSource time) {
        this(table, codec, name, self, time, LEASE_MILLIS, holder -> false);
    }

    /**
     * Creates a keeper that holds nothing.
     *
     * @param leaseMillis time after which an unchanged lease may be taken over
     * @param hasEnded whether the process of a holder is known to have ended, so that its lease may
     *     be taken over at once
     */
    public LeaseKeeper(
            TransactionalTable table,
            RowCodec<LeaseRow> codec,
            String name,
            InstanceId self,
            TimeSource time,
            long leaseMillis,
            Predicate<String> hasEnded) {
        this.table = table;
        this.codec = codec;
        this.leaseKey = RowKey.of("lease", name);
        this.epochKey = RowKey.of("lease", name, "epoch");
        this.self = self;
        this.time = time;
        this.leaseMillis = leaseMillis;
        this.hasEnded = hasEnded;
    }

    /**
     * The lease, if this instance holds it and its time has not passed. The fence, not this method,
     * protects writes: the holder may be paused after the call.
     */
    public Optional<Lease> current() {
        lock.lock();
        try {
            return time.nowMillis() < heldUntilMillis
                    ? Optional.ofNullable(held)
                    : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * The lease, unless another instance is known to have taken it. Its time may have passed, as it
     * does for every instance while the table is away.
     */
    public Optional<Lease> currentOrExpired() {
        lock.lock();
        try {
            return Optional.ofNullable(held);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Renews the lease or tries to acquire it; call it every {@link #RENEW_MILLIS}. Errors of the
     * table end the attempt; the next call tries again.
     */
    public CompletionStage<Void> tick() {
        if (!enter()) {
            return CompletableFuture.completedFuture(null);
        }
        long startedMillis = time.nowMillis();
        return table.read(leaseKey)
                .thenCompose(row -> advance(row, startedMillis))
                .handle(
                        (result, failure) -> {
                            leave();
                            return null;
                        });
    }

    /** Gives the lease back, so that another instance can take it at once. */
    public CompletionStage<Void> release() {
        lock.lock();
        try {
            held = null;
            heldUntilMillis = 0;
        } finally {
            lock.unlock();
        }
        return table.read(leaseKey)
                .thenCompose(
                        row -> {
                            if (row.isEmpty() || !isOwn(row.get())) {
                                return CompletableFuture.completedFuture(null);
                            }
                            LeaseRow free = new LeaseRow("", decode(row.get()).renewals() + 1);
                            return table.commit(
                                    Transaction.builder()
                                            .replace(row.get(), codec.encode(free))
                                            .build());
                        })
                .handle((result, failure) -> null);
    }

    private CompletionStage<Void> advance(Optional<Row> row, long startedMillis) {
        if (row.isEmpty()) {
            return take(Transaction.builder().insert(leaseKey, encode(0)), startedMillis, 0);
        }
        if (!isOwn(row.get())) {
            // Otherwise a later acquisition whose answer was lost would be renewed with this fence.
            drop();
        } else if (isHeld()) {
            return renew(row.get(), startedMillis);
        }
        String holder = decode(row.get()).holder();
        boolean free = holder.isEmpty() || hasEnded.test(holder);
        if (!free && !unchangedForLeaseTime(row.get())) {
            return CompletableFuture.completedFuture(null);
        }
        long renewals = decode(row.get()).renewals() + 1;
        Transaction.Builder taken = Transaction.builder().replace(row.get(), encode(renewals));
        return take(taken, startedMillis, renewals);
    }

    private CompletionStage<Void> renew(Row row, long startedMillis) {
        Transaction renewal =
                Transaction.builder().replace(row, encode(decode(row).renewals() + 1)).build();
        return table.commit(renewal)
                .thenAccept(
                        result -> {
                            if (result.isCommitted()) {
                                extend(startedMillis);
                            } else {
                                drop();
                            }
                        });
    }

    private CompletionStage<Void> take(
            Transaction.Builder transaction, long startedMillis, long renewals) {
        return table.commit(transaction.put(epochKey, self.value()).build())
                .thenAccept(result -> accept(result, startedMillis, renewals));
    }

    private void accept(CommitResult result, long startedMillis, long renewals) {
        if (!result.isCommitted()) {
            return;
        }
        lock.lock();
        try {
            held = new Lease(new Condition(epochKey, result.version()), renewals);
            heldUntilMillis = startedMillis + leaseMillis;
        } finally {
            lock.unlock();
        }
    }

    private void extend(long startedMillis) {
        lock.lock();
        try {
            heldUntilMillis = startedMillis + leaseMillis;
        } finally {
            lock.unlock();
        }
    }

    private void drop() {
        lock.lock();
        try {
            held = null;
        } finally {
            lock.unlock();
        }
    }

    private boolean unchangedForLeaseTime(Row row) {
        long now = time.nowMillis();
        lock.lock();
        try {
            if (row.version() != seenVersion) {
                seenVersion = row.version();
                seenSinceMillis = now;
            }
            return now - seenSinceMillis >= leaseMillis;
        } finally {
            lock.unlock();
        }
    }

    private boolean isOwn(Row row) {
        return decode(row).holder().equals(self.value());
    }

    private boolean isHeld() {
        lock.lock();
        try {
            return held != null;
        } finally {
            lock.unlock();
        }
    }

    private boolean enter() {
        lock.lock();
        try {
            if (busy) {
                return false;
            }
            busy = true;
            return true;
        } finally {
            lock.unlock();
        }
    }

    private void leave() {
        lock.lock();
        try {
            busy = false;
        } finally {
            lock.unlock();
        }
    }

    private LeaseRow decode(Row row) {
        return codec.decode(row.value());
    }

    private String encode(long renewals) {
        return codec.encode(new LeaseRow(self.value(), renewals));
    }
}
