package org.quetzalscale.core.lease;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
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
 * Acquires, renews and releases one lease.
 *
 * <p>An instance takes over the lease after it has observed the row unchanged for the whole lease
 * time by its own monotonic clock, so clocks need no synchronisation. There are two rows: {@code
 * lease/<name>} changes with each renewal, and {@code lease/<name>/epoch} only with each
 * acquisition. The version of the latter fences the holder's writes.
 */
public final class LeaseKeeper {
    /** Lease time: the time after which an unchanged lease may be taken over, in milliseconds. */
    public static final long LEASE_MILLIS = 6_000;

    /** Time between renewals, in milliseconds. */
    public static final long RENEW_MILLIS = 2_000;

    private final TransactionalTable table;
    private final RowCodec<LeaseRow> codec;
    private final RowKey leaseKey;
    private final RowKey epochKey;
    private final InstanceId self;
    private final TimeSource time;
    private final Options options;
    private final ReentrantLock lock = new ReentrantLock();

    private long observedVersion = -1;
    private long observedSinceMillis;
    private Lease held;
    private long heldUntilMillis;
    private boolean tickInFlight;

    /**
     * How a keeper takes the lease.
     *
     * @param leaseMillis lease time, in milliseconds
     * @param hasProcessEnded whether the process of a holder is known to have ended, so that its
     *     lease may be taken over at once
     * @param announcementKey row that each acquisition writes as well, so that the change feed of
     *     its table shows an acquisition before all later changes
     * @param waitMillis how long to leave a lease that may be taken to others, in milliseconds
     */
    public record Options(
            long leaseMillis,
            Predicate<String> hasProcessEnded,
            Optional<RowKey> announcementKey,
            LongSupplier waitMillis) {
        static final Options DEFAULT =
                new Options(LEASE_MILLIS, holder -> false, Optional.empty(), () -> 0);
    }

    /**
     * Creates a keeper that does not hold the lease, with the lease time {@link #LEASE_MILLIS}.
     *
     * @param name name of the lease, such as {@code jobs}
     */
    public LeaseKeeper(
            TransactionalTable table,
            RowCodec<LeaseRow> codec,
            String name,
            InstanceId self,
            TimeSource time) {
        this(table, codec, name, self, time, Options.DEFAULT);
    }

    /** Creates a keeper that does not hold the lease. */
    public LeaseKeeper(
            TransactionalTable table,
            RowCodec<LeaseRow> codec,
            String name,
            InstanceId self,
            TimeSource time,
            Options options) {
        this.table = table;
        this.codec = codec;
        this.leaseKey = RowKey.of("lease", name);
        this.epochKey = RowKey.of("lease", name, "epoch");
        this.self = self;
        this.time = time;
        this.options = options;
    }

    /**
     * The lease, if this instance holds it and it has not expired. Writes are protected by the
     * fence and not by this method, because the process may be paused after the call.
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
     * The lease, unless another instance is known to have acquired it. It may have expired, as it
     * does on every instance while the table is unavailable.
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
     * Renews the lease or tries to acquire it. Must be called every {@link #RENEW_MILLIS}. The
     * stage never fails: after an error of the table, the next call retries.
     */
    public CompletionStage<Void> tick() {
        if (!tryBeginTick()) {
            return CompletableFuture.completedFuture(null);
        }
        long startedMillis = time.nowMillis();
        return table.read(leaseKey)
                .thenCompose(row -> renewOrAcquire(row, startedMillis))
                .handle(
                        (result, failure) -> {
                            endTick();
                            return null;
                        });
    }

    /** Releases the lease, so that another instance can acquire it at once. */
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

    private CompletionStage<Void> renewOrAcquire(Optional<Row> row, long startedMillis) {
        if (row.isEmpty()) {
            return acquire(Transaction.builder().insert(leaseKey, encode(0)), startedMillis, 0);
        }
        if (!isOwn(row.get())) {
            // If this instance acquires the lease again later and the result is lost, it would
            // otherwise renew that lease with the outdated fence.
            dropLease();
        } else if (isHeld()) {
            return renew(row.get(), startedMillis);
        }
        String holder = decode(row.get()).holder();
        boolean free = holder.isEmpty() || options.hasProcessEnded().test(holder);
        long required = (free ? 0 : options.leaseMillis()) + options.waitMillis().getAsLong();
        if (!isUnchangedFor(required, row.get())) {
            return CompletableFuture.completedFuture(null);
        }
        long renewals = decode(row.get()).renewals() + 1;
        Transaction.Builder acquisition =
                Transaction.builder().replace(row.get(), encode(renewals));
        return acquire(acquisition, startedMillis, renewals);
    }

    private CompletionStage<Void> renew(Row row, long startedMillis) {
        Transaction renewal =
                Transaction.builder().replace(row, encode(decode(row).renewals() + 1)).build();
        return table.commit(renewal)
                .thenAccept(
                        result -> {
                            if (result.isCommitted()) {
                                extendLease(startedMillis);
                            } else {
                                dropLease();
                            }
                        });
    }

    private CompletionStage<Void> acquire(
            Transaction.Builder transaction, long startedMillis, long renewals) {
        transaction.put(epochKey, self.value());
        options.announcementKey().ifPresent(key -> transaction.put(key, self.value()));
        return table.commit(transaction.build())
                .thenAccept(result -> recordAcquisition(result, startedMillis, renewals));
    }

    private void recordAcquisition(CommitResult result, long startedMillis, long renewals) {
        if (!result.isCommitted()) {
            return;
        }
        lock.lock();
        try {
            held = new Lease(new Condition(epochKey, result.version()), renewals);
            heldUntilMillis = startedMillis + options.leaseMillis();
        } finally {
            lock.unlock();
        }
    }

    private void extendLease(long startedMillis) {
        lock.lock();
        try {
            heldUntilMillis = startedMillis + options.leaseMillis();
        } finally {
            lock.unlock();
        }
    }

    private void dropLease() {
        lock.lock();
        try {
            held = null;
        } finally {
            lock.unlock();
        }
    }

    private boolean isUnchangedFor(long millis, Row row) {
        long now = time.nowMillis();
        lock.lock();
        try {
            if (row.version() != observedVersion) {
                observedVersion = row.version();
                observedSinceMillis = now;
            }
            return now - observedSinceMillis >= millis;
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

    private boolean tryBeginTick() {
        lock.lock();
        try {
            if (tickInFlight) {
                return false;
            }
            tickInFlight = true;
            return true;
        } finally {
            lock.unlock();
        }
    }

    private void endTick() {
        lock.lock();
        try {
            tickInFlight = false;
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
