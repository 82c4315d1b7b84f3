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
 * Admits requests: one unit of the team's limit and one slot of a worker for each, with fair
 * queueing among the teams of a pool. Safe for several threads; pools are split into shards.
 */
public final class FairAdmissionController implements AdmissionController {
    /** Period at which {@link #tick} should be called, in milliseconds. */
    public static final long TICK_MILLIS = 20;

    private static final int SHARD_COUNT = 16;
    private static final double ANONYMOUS_SHARE = 1;

    private final ConfigSource config;
    private final TeamLimiter units;
    private final WorkerChooser workers;
    private final RetryBudget budget;
    private final TimeSource time;
    private final List<Shard> shards = new ArrayList<>();

    /** An admission without waiting requests. */
    public FairAdmissionController(
            ConfigSource config,
            TeamLimiter units,
            WorkerChooser workers,
            RetryBudget budget,
            TimeSource time) {
        this.config = config;
        this.units = units;
        this.workers = workers;
        this.budget = budget;
        this.time = time;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    @Override
    public CompletionStage<AdmittedRequest> admit(AdmissionRequest request) {
        if (!config.isValid()) {
            return refuse(ErrorKind.CONFIG_STALE, "the configuration may be out of date");
        }
        ConfigSnapshot snapshot = config.snapshot();
        Optional<QueueSpec> queue = snapshot.queue(request.queue());
        if (queue.isEmpty()) {
            return refuse(
                    ErrorKind.QUEUE_UNKNOWN, "no queue has the name \"" + request.queue() + "\"");
        }
        if (time.nowMillis() >= request.deadlineMillis()) {
            return refuse(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before admission");
        }
        PoolId pool = queue.get().pool();
        if (!workers.servesPool(pool)) {
            return refuse(
                    ErrorKind.NO_WORKER_AVAILABLE, "no worker of pool " + pool + " takes work");
        }
        double share =
                request.team()
                        .flatMap(snapshot::team)
                        .map(team -> team.share())
                        .orElse(ANONYMOUS_SHARE);
        Waiting entry = new Waiting(request, pool, share);
        enqueue(entry);
        dispatch(pool);
        refuseIfStuck(entry, queue.get());
        entry.answer.whenComplete((assignment, failure) -> withdraw(entry));
        return entry.answer;
    }

    /**
     * Ends requests whose deadline passed, gives back units of requests that may have run until
     * their deadline, and starts what can start.
     */
    public void tick() {
        long nowMillis = time.nowMillis();
        workers.removeExpiredReports();
        for (Shard shard : shards) {
            List<Waiting> late = new ArrayList<>();
            List<PoolId> pools;
            shard.lock.lock();
            try {
                shard.pools.values().forEach(queue -> late.addAll(queue.removeLate(nowMillis)));
                while (!shard.held.isEmpty() && shard.held.peek().untilMillis() <= nowMillis) {
                    units.release(shard.held.poll().team());
                }
                pools = List.copyOf(shard.pools.keySet());
            } finally {
                shard.lock.unlock();
            }
            late.forEach(this::endLate);
            pools.forEach(this::dispatch);
        }
    }

    /** Requests that run or wait here by pool, for the report to siblings. */
    public Map<PoolId, Integer> demand() {
        Map<PoolId, Integer> demands = new TreeMap<>();
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.pools.forEach(
                        (pool, queue) -> {
                            if (queue.demand() > 0) {
                                demands.put(pool, queue.demand());
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
        }
        return demands;
    }

    /** Starts what waits for units of the team, after units arrived. */
    public void onUnitsAvailable(TeamId team) {
        for (Shard shard : shards) {
            List<PoolId> pools = new ArrayList<>();
            shard.lock.lock();
            try {
                shard.pools.forEach(
                        (pool, queue) -> {
                            if (queue.waits(team)) {
                                pools.add(pool);
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
            pools.forEach(this::dispatch);
        }
    }

    private void enqueue(Waiting entry) {
        Shard shard = shard(entry.pool);
        shard.lock.lock();
        try {
            shard.queue(entry.pool).add(entry);
        } finally {
            shard.lock.unlock();
        }
        entry.request.team().ifPresent(team -> units.addWaiting(team, 1));
    }

    /** Refuses a request that has to wait although it must or need not. */
    private void refuseIfStuck(Waiting entry, QueueSpec spec) {
        AdmissionRequest request = entry.request;
        boolean usedUp = request.team().filter(units::isLimitReached).isPresent();
        ErrorKind kind;
        Shard shard = shard(entry.pool);
        shard.lock.lock();
        try {
            if (!entry.isQueued) {
                return;
            }
            PoolQueue queue = shard.queue(entry.pool);
            if (usedUp) {
                kind = ErrorKind.LIMIT_REACHED;
            } else if (queue.queued(request.queue()) > spec.maxQueued()) {
                kind = ErrorKind.QUEUE_FULL;
            } else if (queue.isHopeless(entry, time.nowMillis())) {
                kind = ErrorKind.DEADLINE_EXCEEDED;
            } else {
                return;
            }
            queue.withdraw(entry);
        } finally {
            shard.lock.unlock();
        }
        leftQueue(entry);
        entry.answer.completeExceptionally(new QuetzalscaleException(kind, reason(kind, entry)));
    }

    private static String reason(ErrorKind kind, Waiting entry) {
        AdmissionRequest request = entry.request;
        return switch (kind) {
            case LIMIT_REACHED ->
                    "team " + request.team().orElseThrow() + " runs its whole upper limit";
            case QUEUE_FULL -> "queue \"" + request.queue() + "\" holds all it may";
            default -> "queue \"" + request.queue() + "\" is too long to end before the deadline";
        };
    }

    private void withdraw(Waiting entry) {
        boolean withdrawn;
        Shard shard = shard(entry.pool);
        shard.lock.lock();
        try {
            withdrawn = shard.queue(entry.pool).withdraw(entry);
        } finally {
            shard.lock.unlock();
        }
        if (withdrawn) {
            leftQueue(entry);
        }
    }

    private void dispatch(PoolId pool) {
        List<Runnable> after = new ArrayList<>();
        long nowMillis = time.nowMillis();
        Shard shard = shard(pool);
        shard.lock.lock();
        try {
            PoolQueue queue = shard.queue(pool);
            int part = workers.slotShare(pool, queue.demand());
            queue.dispatch(
                    nowMillis,
                    entry ->
                            queue.running() < part
                                    ? tryStart(entry, queue, after)
                                    : StartResult.NO_SLOT,
                    entry -> after.add(() -> endLate(entry)));
        } finally {
            shard.lock.unlock();
        }
        after.forEach(Runnable::run);
    }

    private StartResult tryStart(Waiting entry, PoolQueue queue, List<Runnable> after) {
        Optional<TeamId> team = entry.request.team();
        if (team.isPresent() && !units.tryAcquire(team.get())) {
            return StartResult.NO_UNIT;
        }
        Optional<WorkerSlot> place = workers.choose(entry.pool, Set.of());
        if (place.isEmpty()) {
            team.ifPresent(units::release);
            return StartResult.NO_SLOT;
        }
        budget.countRequest(entry.pool);
        FairAdmittedRequest assignment =
                new FairAdmittedRequest(
                        this,
                        entry,
                        place.get(),
                        Set.of(),
                        new Charge(time.nowMillis(), queue.chargeMillis(entry)));
        after.add(() -> start(entry, assignment));
        return StartResult.STARTED;
    }

    private void start(Waiting entry, FairAdmittedRequest assignment) {
        leftQueue(entry);
        if (!entry.answer.complete(assignment)) {
            // Cancelled meanwhile: nothing was sent, so the unit is free at once.
            finish(assignment, AttemptOutcome.ABANDONED, false);
        }
    }

    Optional<AdmittedRequest> retry(FairAdmittedRequest assignment, AttemptOutcome failed) {
        Waiting entry = assignment.entry();
        Set<WorkerId> tried = new HashSet<>(assignment.triedBefore());
        tried.add(assignment.worker());
        Optional<WorkerSlot> place = workers.choose(entry.pool, tried);
        if (place.isEmpty()) {
            return Optional.empty();
        }
        Optional<TeamId> team = entry.request.team();
        boolean mayStillRun = mayStillRun(failed);
        boolean hasUnit = team.isEmpty() || !mayStillRun || units.tryAcquire(team.get());
        // A refused attempt did not run, so its retry adds no load that needs a bound.
        if (!hasUnit || failed != AttemptOutcome.REFUSED && !budget.tryRetry(entry.pool)) {
            if (hasUnit && mayStillRun) {
                team.ifPresent(units::release);
            }
            workers.release(place.get().worker(), AttemptOutcome.ABANDONED);
            return Optional.empty();
        }
        if (mayStillRun) {
            holdUnit(entry);
        }
        workers.release(assignment.worker(), failed);
        return Optional.of(
                new FairAdmittedRequest(this, entry, place.get(), tried, assignment.charge()));
    }

    void finish(FairAdmittedRequest assignment, AttemptOutcome outcome, boolean wasSent) {
        workers.release(assignment.worker(), outcome);
        Waiting entry = assignment.entry();
        long nowMillis = time.nowMillis();
        Charge charge = assignment.charge();
        boolean ranToItsEnd =
                outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.FAILED;
        Shard shard = shard(entry.pool);
        shard.lock.lock();
        try {
            shard.queue(entry.pool)
                    .finish(
                            entry,
                            charge.chargedMillis(),
                            nowMillis - charge.startMillis(),
                            ranToItsEnd,
                            nowMillis);
        } finally {
            shard.lock.unlock();
        }
        if (wasSent && mayStillRun(outcome)) {
            holdUnit(entry);
        } else {
            entry.request.team().ifPresent(units::release);
            entry.request.team().ifPresent(this::onUnitsAvailable);
        }
        dispatch(entry.pool);
    }

    /** Whether a target may go on with a request after its attempt ended in this way. */
    private static boolean mayStillRun(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.BROKEN || outcome == AttemptOutcome.ABANDONED;
    }

    /** Keeps the unit until the request's deadline, because the target may still run it. */
    private void holdUnit(Waiting entry) {
        if (entry.request.team().isEmpty()) {
            return;
        }
        Shard shard = shard(entry.pool);
        shard.lock.lock();
        try {
            shard.held.add(
                    new HeldUnit(entry.request.team().get(), entry.request.deadlineMillis()));
        } finally {
            shard.lock.unlock();
        }
    }

    private void endLate(Waiting entry) {
        leftQueue(entry);
        entry.answer.completeExceptionally(
                new QuetzalscaleException(
                        ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while it waited"));
    }

    private void leftQueue(Waiting entry) {
        entry.request.team().ifPresent(team -> units.addWaiting(team, -1));
    }

    private Shard shard(PoolId pool) {
        return shards.get(Math.floorMod(pool.hashCode(), SHARD_COUNT));
    }

    private static CompletionStage<AdmittedRequest> refuse(ErrorKind kind, String message) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, message));
    }

    /** A unit whose request may run until its deadline. */
    private record HeldUnit(TeamId team, long untilMillis) {}

    /** Pools that fall on one lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<PoolId, PoolQueue> pools = new HashMap<>();
        private final PriorityQueue<HeldUnit> held =
                new PriorityQueue<>(Comparator.comparingLong(HeldUnit::untilMillis));

        PoolQueue queue(PoolId pool) {
            return pools.computeIfAbsent(pool, id -> new PoolQueue());
        }
    }
}
