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
 * time by its own monotonic clock, so clocks need no synchronisation. If the row has its own name
 * although it does not hold the lease, the answer to its acquisition or release was lost, or its
 * former process held the lease: it acquires the lease anew at once, which fences whatever was
 * carried out before. It waits if another process of its name has taken the lease from it, so that
 * the two do not take it from each other again and again, and if several of its acquisitions in a
 * row were not answered. There are two rows: {@code lease/<name>} changes with each renewal, and
 * {@code lease/<name>/epoch} only with each acquisition. The version of the latter fences the
 * holder's writes, and its renewals and releases: the name in the row alone does not tell whether
 * another process of that name has acquired the lease.
 *
 * <p>Calls of one keeper to the table do not overlap: a tick is skipped while another call is in
 * flight, and a release follows it.
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
    private final UnansweredAcquisitions unanswered;
    private final ReentrantLock lock = new ReentrantLock();

    private final RowObservation observation;
    private LeaseRow lastRead = new LeaseRow("", 0);
    private Lease held;
    private long heldUntilMillis;

    /** Whether another process has taken the lease from this one. */
    private boolean superseded;

    /** The last tick or release, until it is answered. */
    private CompletableFuture<Void> callInFlight;

    /** Whether a release is waiting or in flight. */
    private boolean releasing;

    /** The lease that {@link #release} gives back; null if its acquisition was not answered. */
    private Lease toRelease;

    /**
     * How a keeper takes the lease.
     *
     * @param leaseMillis lease time, in milliseconds
     * @param hasProcessEnded whether the process of a holder is known to have ended, so that its
     *     lease may be taken over at once
     * @param announcementKey row that each acquisition writes as well, so that the change feed of
     *     its table shows an acquisition before all later changes
     * @param waitMillis how long to leave a lease that may be taken to others, in milliseconds
     * @param listener receives what becomes known about acquisitions without an answer
     */
    public record Options(
            long leaseMillis,
            Predicate<String> hasProcessEnded,
            Optional<RowKey> announcementKey,
            LongSupplier waitMillis,
            AcquisitionListener listener) {
        static final Options DEFAULT =
                new Options(
                        LEASE_MILLIS,
                        holder -> false,
                        Optional.empty(),
                        () -> 0,
                        (outcome, detail) -> {});
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
        this.observation = new RowObservation(options.leaseMillis());
        this.unanswered = new UnansweredAcquisitions(self, options.listener());
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

    /** When the lease was requested, or the last successful renewal was sent. */
    public long confirmedMillis() {
        lock.lock();
        try {
            return heldUntilMillis - options.leaseMillis();
        } finally {
            lock.unlock();
        }
    }

    /**
     * The lease row that was read or acquired last; a free lease that was never renewed if there is
     * none.
     */
    public LeaseRow lastRead() {
        lock.lock();
        try {
            return lastRead;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Renews the lease or tries to acquire it. Must be called every {@link #RENEW_MILLIS}. The
     * stage never fails: after an error of the table, the next call retries.
     */
    public CompletionStage<Void> tick() {
        CompletableFuture<Void> call = new CompletableFuture<>();
        if (!tryBeginTick(call)) {
            return CompletableFuture.completedFuture(null);
        }
        long startedMillis = time.nowMillis();
        return table.read(leaseKey)
                .whenComplete((row, failure) -> interruptObservationIfFailed(failure))
                .thenCompose(row -> renewOrAcquire(row, startedMillis))
                .handle(
                        (result, failure) -> {
                            endCall(call);
                            return null;
                        });
    }

    /**
     * Releases the lease, so that another instance can acquire it at once. A tick in flight is
     * awaited first, because it may acquire or renew the lease.
     */
    public CompletionStage<Void> release() {
        CompletableFuture<Void> call = new CompletableFuture<>();
        return beginRelease(call)
                .thenCompose(ignored -> table.read(leaseKey))
                .thenCompose(this::free)
                .handle(
                        (result, failure) -> {
                            endCall(call);
                            return null;
                        });
    }

    private CompletionStage<Void> free(Optional<Row> row) {
        if (row.isEmpty() || !isOwn(row.get())) {
            return CompletableFuture.completedFuture(null);
        }
        Transaction.Builder transaction = Transaction.builder();
        leaseToRelease().ifPresent(lease -> transaction.require(lease.fence()));
        LeaseRow free = new LeaseRow("", decode(row.get()).renewals() + 1);
        transaction.replace(row.get(), codec.encode(free));
        return table.commit(transaction.build()).thenAccept(this::dropLeaseIfFenced);
    }

    private CompletionStage<Void> renewOrAcquire(Optional<Row> row, long startedMillis) {
        if (isReleasing()) {
            return CompletableFuture.completedFuture(null);
        }
        if (row.isEmpty()) {
            return acquire(row, startedMillis);
        }
        LeaseRow read = decode(row.get());
        recordRead(read);
        unanswered.rowRead(read.holder(), row.get().version());
        boolean own = isOwn(row.get());
        if (own && isHeld()) {
            return renew(row.get());
        }
        if (!own) {
            // If this instance acquires the lease again later and the result is lost, it would
            // otherwise renew that lease with the outdated fence.
            dropLease(false);
        }
        if (!isUnchangedFor(requiredMillis(row.get()), row.get())) {
            return CompletableFuture.completedFuture(null);
        }
        return acquire(row, startedMillis);
    }

    /** How long the row must not have changed before this instance acquires the lease. */
    private long requiredMillis(Row row) {
        if (isOwn(row) && !isSuperseded() && unanswered.mayAcquireAtOnce()) {
            return 0;
        }
        String holder = decode(row).holder();
        boolean free = holder.isEmpty() || options.hasProcessEnded().test(holder);
        return (free ? 0 : options.leaseMillis()) + options.waitMillis().getAsLong();
    }

    private CompletionStage<Void> renew(Row row) {
        Optional<Lease> lease = currentOrExpired();
        if (lease.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        Transaction renewal =
                Transaction.builder()
                        .require(lease.get().fence())
                        .replace(row, encode(decode(row).renewals() + 1))
                        .build();
        long sentMillis = time.nowMillis();
        return table.commit(renewal)
                .thenAccept(
                        result -> {
                            if (result.isCommitted()) {
                                extendLease(sentMillis);
                            } else {
                                dropLeaseIfFenced(result);
                            }
                        });
    }

    private CompletionStage<Void> acquire(Optional<Row> row, long startedMillis) {
        forgetLeaseToRelease();
        long renewals = row.map(r -> decode(r).renewals() + 1).orElse(0L);
        long rowVersion = row.map(Row::version).orElse(Condition.ABSENT);
        Transaction.Builder transaction =
                Transaction.builder()
                        .require(new Condition(leaseKey, rowVersion))
                        .put(leaseKey, encode(renewals))
                        .put(epochKey, self.value());
        options.announcementKey().ifPresent(key -> transaction.put(key, self.value()));
        return table.commit(transaction.build())
                .whenComplete((result, failure) -> noteAnswer(rowVersion, result, failure))
                .thenAccept(result -> recordAcquisition(result, startedMillis, renewals));
    }

    private void recordRead(LeaseRow row) {
        lock.lock();
        try {
            lastRead = row;
        } finally {
            lock.unlock();
        }
    }

    private void noteAnswer(long rowVersion, CommitResult result, Throwable failure) {
        if (failure != null) {
            unanswered.failed(rowVersion, failure);
        } else if (result.isCommitted()) {
            unanswered.committed();
        } else {
            unanswered.rejected();
        }
    }

    private void recordAcquisition(CommitResult result, long startedMillis, long renewals) {
        if (!result.isCommitted()) {
            return;
        }
        lock.lock();
        try {
            Lease acquired = new Lease(new Condition(epochKey, result.version()), renewals);
            if (releasing) {
                toRelease = acquired;
                return;
            }
            held = acquired;
            lastRead = new LeaseRow(self.value(), renewals);
            superseded = false;
            heldUntilMillis = startedMillis + options.leaseMillis();
        } finally {
            lock.unlock();
        }
    }

    private void extendLease(long sentMillis) {
        lock.lock();
        try {
            heldUntilMillis = sentMillis + options.leaseMillis();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Drops the lease if another process has acquired it. A conflict on the lease row alone is no
     * acquisition, since each acquisition writes both rows, but a late renewal of this instance.
     */
    private void dropLeaseIfFenced(CommitResult result) {
        if (result.conflict().equals(Optional.of(epochKey))) {
            dropLease(true);
        }
    }

    private void dropLease(boolean isSuperseded) {
        lock.lock();
        try {
            held = null;
            superseded = isSuperseded;
        } finally {
            lock.unlock();
        }
    }

    private boolean isUnchangedFor(long millis, Row row) {
        lock.lock();
        try {
            return observation.unchangedMillis(row.version(), time.nowMillis()) >= millis;
        } finally {
            lock.unlock();
        }
    }

    private void interruptObservationIfFailed(Throwable failure) {
        if (failure == null) {
            return;
        }
        lock.lock();
        try {
            observation.interrupt();
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

    private boolean isSuperseded() {
        lock.lock();
        try {
            return superseded;
        } finally {
            lock.unlock();
        }
    }

    private boolean isReleasing() {
        lock.lock();
        try {
            return releasing;
        } finally {
            lock.unlock();
        }
    }

    private Optional<Lease> leaseToRelease() {
        lock.lock();
        try {
            return Optional.ofNullable(toRelease);
        } finally {
            lock.unlock();
        }
    }

    /** A later release is not to require the fence of a lease before the next acquisition. */
    private void forgetLeaseToRelease() {
        lock.lock();
        try {
            toRelease = null;
        } finally {
            lock.unlock();
        }
    }

    private boolean tryBeginTick(CompletableFuture<Void> call) {
        lock.lock();
        try {
            if (callInFlight != null) {
                return false;
            }
            callInFlight = call;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Gives up the lease. The returned stage completes when the call in flight has ended. */
    private CompletionStage<Void> beginRelease(CompletableFuture<Void> call) {
        lock.lock();
        try {
            CompletableFuture<Void> previous = callInFlight;
            callInFlight = call;
            releasing = true;
            if (held != null) {
                toRelease = held;
            }
            held = null;
            heldUntilMillis = 0;
            return previous == null ? CompletableFuture.completedFuture(null) : previous;
        } finally {
            lock.unlock();
        }
    }

    private void endCall(CompletableFuture<Void> call) {
        lock.lock();
        try {
            if (callInFlight == call) {
                callInFlight = null;
                releasing = false;
            }
        } finally {
            lock.unlock();
        }
        call.complete(null);
    }

    private LeaseRow decode(Row row) {
        return codec.decode(row.value());
    }

    private String encode(long renewals) {
        return codec.encode(new LeaseRow(self.value(), renewals));
    }
}
