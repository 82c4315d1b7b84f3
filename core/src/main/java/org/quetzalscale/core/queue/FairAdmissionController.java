package org.quetzalscale.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.limit.TeamLimiter;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.retry.RetryBudget;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.route.WorkerSlot;
import org.quetzalscale.core.time.TimeSource;

/**
 * Admits requests with weighted fair queueing among the teams of a pool. Each admitted request
 * holds one unit of its team's limit and one worker slot. Thread-safe; pools are divided into
 * shards, each with its own lock.
 */
public final class FairAdmissionController implements AdmissionController {
    /** Period in which {@link #tick} must be called, in milliseconds. */
    public static final long TICK_MILLIS = 20;

    private static final int SHARD_COUNT = 16;
    private static final double ANONYMOUS_SHARE = 1;

    private final ConfigSource config;
    private final TeamLimiter limiter;
    private final WorkerChooser workers;
    private final RetryBudget retryBudget;
    private final TimeSource time;
    private final List<Shard> shards = new ArrayList<>();

    /** Creates a controller without waiting requests. */
    public FairAdmissionController(
            ConfigSource config,
            TeamLimiter limiter,
            WorkerChooser workers,
            RetryBudget retryBudget,
            TimeSource time) {
        this.config = config;
        this.limiter = limiter;
        this.workers = workers;
        this.retryBudget = retryBudget;
        this.time = time;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    @Override
    public CompletionStage<AdmittedRequest> admit(AdmissionRequest request) {
        if (!config.isValid()) {
            return reject(ErrorKind.CONFIG_STALE, "the configuration may be out of date");
        }
        ConfigSnapshot snapshot = config.snapshot();
        Optional<QueueSpec> queue = snapshot.queue(request.queue());
        if (queue.isEmpty()) {
            return reject(ErrorKind.QUEUE_UNKNOWN, "there is no queue \"" + request.queue() + "\"");
        }
        if (time.nowMillis() >= request.deadlineMillis()) {
            return reject(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the deadline passed before the request was admitted");
        }
        PoolId pool = queue.get().pool();
        if (!workers.servesPool(pool)) {
            return reject(
                    ErrorKind.NO_WORKER_AVAILABLE, "pool " + pool + " has no available worker");
        }
        double share =
                request.team()
                        .flatMap(snapshot::team)
                        .map(team -> team.share())
                        .orElse(ANONYMOUS_SHARE);
        PendingRequest pending = new PendingRequest(request, pool, share);
        enqueue(pending);
        dispatch(pool);
        rejectIfUnservable(pending, queue.get());
        pending.admitted.whenComplete((admitted, failure) -> withdraw(pending));
        return pending.admitted;
    }

    /**
     * Rejects waiting requests whose deadline has passed, releases units that were kept until the
     * deadline of their request, and starts waiting requests.
     */
    public void tick() {
        long nowMillis = time.nowMillis();
        workers.removeExpiredReports();
        for (Shard shard : shards) {
            List<PendingRequest> expired = new ArrayList<>();
            List<PoolId> pools;
            shard.lock.lock();
            try {
                shard.pools
                        .values()
                        .forEach(queue -> expired.addAll(queue.removeExpired(nowMillis)));
                while (!shard.delayedReleases.isEmpty()
                        && shard.delayedReleases.peek().releaseAtMillis() <= nowMillis) {
                    limiter.release(shard.delayedReleases.poll().team());
                }
                pools = List.copyOf(shard.pools.keySet());
            } finally {
                shard.lock.unlock();
            }
            expired.forEach(this::expire);
            pools.forEach(this::dispatch);
        }
    }

    /** Number of requests that run or wait on this instance by pool, for the report to siblings. */
    public Map<PoolId, Integer> demand() {
        Map<PoolId, Integer> demandByPool = new TreeMap<>();
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.pools.forEach(
                        (pool, queue) -> {
                            if (queue.demand() > 0) {
                                demandByPool.put(pool, queue.demand());
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
        }
        return demandByPool;
    }

    /** Starts waiting requests of the team after this instance gained units of its limit. */
    public void onUnitsAvailable(TeamId team) {
        for (Shard shard : shards) {
            List<PoolId> pools = new ArrayList<>();
            shard.lock.lock();
            try {
                shard.pools.forEach(
                        (pool, queue) -> {
                            if (queue.hasWaiting(team)) {
                                pools.add(pool);
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
            pools.forEach(this::dispatch);
        }
    }

    private void enqueue(PendingRequest pending) {
        Shard shard = shard(pending.pool);
        shard.lock.lock();
        try {
            shard.queue(pending.pool).add(pending);
        } finally {
            shard.lock.unlock();
        }
        pending.request.team().ifPresent(team -> limiter.addWaiting(team, 1));
    }

    /**
     * Rejects a request that did not start at once, if its team runs its whole limit, its queue is
     * full, or its estimated wait exceeds its deadline.
     */
    private void rejectIfUnservable(PendingRequest pending, QueueSpec spec) {
        AdmissionRequest request = pending.request;
        boolean limitReached = request.team().filter(limiter::isLimitReached).isPresent();
        ErrorKind kind;
        Shard shard = shard(pending.pool);
        shard.lock.lock();
        try {
            if (!pending.isQueued) {
                return;
            }
            PoolQueue queue = shard.queue(pending.pool);
            if (limitReached) {
                kind = ErrorKind.LIMIT_REACHED;
            } else if (queue.waitingCount(request.queue()) > spec.maxQueued()) {
                kind = ErrorKind.QUEUE_FULL;
            } else if (queue.willMissDeadline(pending, time.nowMillis())) {
                kind = ErrorKind.DEADLINE_EXCEEDED;
            } else {
                return;
            }
            queue.withdraw(pending);
        } finally {
            shard.lock.unlock();
        }
        uncountWaiting(pending);
        pending.admitted.completeExceptionally(
                new QuetzalscaleException(kind, reason(kind, pending)));
    }

    private static String reason(ErrorKind kind, PendingRequest pending) {
        AdmissionRequest request = pending.request;
        return switch (kind) {
            case LIMIT_REACHED ->
                    "team " + request.team().orElseThrow() + " has reached its upper limit";
            case QUEUE_FULL -> "queue \"" + request.queue() + "\" is full";
            default ->
                    "the estimated wait in queue \"" + request.queue() + "\" exceeds the deadline";
        };
    }

    private void withdraw(PendingRequest pending) {
        boolean withdrawn;
        Shard shard = shard(pending.pool);
        shard.lock.lock();
        try {
            withdrawn = shard.queue(pending.pool).withdraw(pending);
        } finally {
            shard.lock.unlock();
        }
        if (withdrawn) {
            uncountWaiting(pending);
        }
    }

    private void dispatch(PoolId pool) {
        List<Runnable> afterUnlock = new ArrayList<>();
        long nowMillis = time.nowMillis();
        Shard shard = shard(pool);
        shard.lock.lock();
        try {
            PoolQueue queue = shard.queue(pool);
            int slotShare = workers.slotShare(pool, queue.demand());
            queue.dispatch(
                    nowMillis,
                    pending ->
                            queue.running() < slotShare
                                    ? tryStart(pending, queue, afterUnlock)
                                    : StartResult.NO_SLOT,
                    pending -> afterUnlock.add(() -> expire(pending)));
        } finally {
            shard.lock.unlock();
        }
        afterUnlock.forEach(Runnable::run);
    }

    private StartResult tryStart(
            PendingRequest pending, PoolQueue queue, List<Runnable> afterUnlock) {
        Optional<TeamId> team = pending.request.team();
        if (team.isPresent() && !limiter.tryAcquire(team.get())) {
            return StartResult.NO_UNIT;
        }
        Optional<WorkerSlot> slot = workers.choose(pending.pool, Set.of());
        if (slot.isEmpty()) {
            team.ifPresent(limiter::release);
            return StartResult.NO_SLOT;
        }
        retryBudget.countRequest(pending.pool);
        FairAdmittedRequest admitted =
                new FairAdmittedRequest(
                        this,
                        pending,
                        slot.get(),
                        Set.of(),
                        new SlotTimeCharge(time.nowMillis(), queue.chargeMillis(pending)));
        afterUnlock.add(() -> start(pending, admitted));
        return StartResult.STARTED;
    }

    private void start(PendingRequest pending, FairAdmittedRequest admitted) {
        uncountWaiting(pending);
        if (!pending.admitted.complete(admitted)) {
            // The caller cancelled in the meantime. Nothing was sent, so the unit is released at
            // once.
            finish(admitted, AttemptOutcome.ABANDONED, false);
        }
    }

    Optional<AdmittedRequest> retry(FairAdmittedRequest admitted, AttemptOutcome failed) {
        PendingRequest pending = admitted.pending();
        Set<WorkerId> tried = new HashSet<>(admitted.triedWorkers());
        tried.add(admitted.worker());
        Optional<WorkerSlot> slot = workers.choose(pending.pool, tried);
        if (slot.isEmpty()) {
            return Optional.empty();
        }
        Optional<TeamId> team = pending.request.team();
        boolean mayStillRun = mayStillRun(failed);
        boolean hasUnit = team.isEmpty() || !mayStillRun || limiter.tryAcquire(team.get());
        // A refused attempt did not run, so its retry adds no load and needs no retry budget.
        if (!hasUnit || failed != AttemptOutcome.REFUSED && !retryBudget.tryRetry(pending.pool)) {
            if (hasUnit && mayStillRun) {
                team.ifPresent(limiter::release);
            }
            workers.release(slot.get().worker(), AttemptOutcome.ABANDONED);
            return Optional.empty();
        }
        if (mayStillRun) {
            releaseUnitAtDeadline(pending);
        }
        workers.release(admitted.worker(), failed);
        return Optional.of(
                new FairAdmittedRequest(this, pending, slot.get(), tried, admitted.charge()));
    }

    void finish(FairAdmittedRequest admitted, AttemptOutcome outcome, boolean wasSent) {
        workers.release(admitted.worker(), outcome);
        PendingRequest pending = admitted.pending();
        long nowMillis = time.nowMillis();
        SlotTimeCharge charge = admitted.charge();
        boolean isServiceTime =
                outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.FAILED;
        Shard shard = shard(pending.pool);
        shard.lock.lock();
        try {
            shard.queue(pending.pool)
                    .finish(
                            pending,
                            charge.chargedMillis(),
                            nowMillis - charge.startMillis(),
                            isServiceTime,
                            nowMillis);
        } finally {
            shard.lock.unlock();
        }
        if (wasSent && mayStillRun(outcome)) {
            releaseUnitAtDeadline(pending);
        } else {
            pending.request.team().ifPresent(limiter::release);
            pending.request.team().ifPresent(this::onUnitsAvailable);
        }
        dispatch(pending.pool);
    }

    /** Whether the target may still run the request after its attempt ended with this outcome. */
    private static boolean mayStillRun(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.ABANDONED;
    }

    /**
     * Keeps the unit until the request's deadline, because the target may run the request until
     * then.
     */
    private void releaseUnitAtDeadline(PendingRequest pending) {
        if (pending.request.team().isEmpty()) {
            return;
        }
        Shard shard = shard(pending.pool);
        shard.lock.lock();
        try {
            shard.delayedReleases.add(
                    new DelayedRelease(
                            pending.request.team().get(), pending.request.deadlineMillis()));
        } finally {
            shard.lock.unlock();
        }
    }

    private void expire(PendingRequest pending) {
        uncountWaiting(pending);
        pending.admitted.completeExceptionally(
                new QuetzalscaleException(
                        ErrorKind.DEADLINE_EXCEEDED,
                        "the deadline passed while the request was queued"));
    }

    private void uncountWaiting(PendingRequest pending) {
        pending.request.team().ifPresent(team -> limiter.addWaiting(team, -1));
    }

    private Shard shard(PoolId pool) {
        return shards.get(Math.floorMod(pool.hashCode(), SHARD_COUNT));
    }

    private static CompletionStage<AdmittedRequest> reject(ErrorKind kind, String message) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, message));
    }

    /** A unit that is released at the deadline of its request. */
    private record DelayedRelease(TeamId team, long releaseAtMillis) {}

    /** Pools that share a lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<PoolId, PoolQueue> pools = new HashMap<>();
        private final PriorityQueue<DelayedRelease> delayedReleases =
                new PriorityQueue<>(Comparator.comparingLong(DelayedRelease::releaseAtMillis));

        PoolQueue queue(PoolId pool) {
            return pools.computeIfAbsent(pool, id -> new PoolQueue());
        }
    }
}
