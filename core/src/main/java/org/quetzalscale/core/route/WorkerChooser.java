package org.quetzalscale.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.queue.AttemptOutcome;
import org.quetzalscale.core.time.TimeSource;

/**
 * Chooses a worker for each request by the power of two choices: of two random eligible workers,
 * the one with fewer requests in flight, counting those of this instance and those that siblings
 * reported. Ejects workers after consecutive failures. Thread-safe; the state of the workers is
 * divided into shards, each with its own lock.
 */
public final class WorkerChooser {
    /**
     * Time for which the report of a sibling is valid, in milliseconds. A changed load is reported
     * every 100 ms and an unchanged one every second, so this is well above a second.
     */
    public static final long REPORT_VALID_MILLIS = 2_500;

    /**
     * Time for which a worker is not chosen after its target announced a shutdown, in milliseconds.
     */
    public static final long SHUTDOWN_VALID_MILLIS = 30_000;

    /**
     * Largest fraction of a pool's workers that is ejected at the same time. In a pool of two or
     * more workers, one may always be ejected.
     */
    public static final double MAX_EJECTED_FRACTION = 0.34;

    private static final int SHARD_COUNT = 16;
    private static final int MAX_ATTEMPTS = 3;

    private final ConfigSource config;
    private final Predicate<WorkerId> isLeaving;
    private final RandomGenerator random;
    private final TimeSource time;
    private final List<Shard> shards = new ArrayList<>();
    private final ReentrantLock reportLock = new ReentrantLock();
    private final Map<InstanceId, SiblingReport> siblingReports = new HashMap<>();
    private volatile PoolIndex index = PoolIndex.of(ConfigSnapshot.EMPTY);

    /**
     * Creates a chooser without any load.
     *
     * @param isLeaving whether the platform lists a worker as leaving or gone
     * @param random a thread-safe random generator, such as {@link java.util.Random}
     */
    public WorkerChooser(
            ConfigSource config,
            Predicate<WorkerId> isLeaving,
            RandomGenerator random,
            TimeSource time) {
        this.config = config;
        this.isLeaving = isLeaving;
        this.random = random;
        this.time = time;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    /**
     * Reserves a slot on an eligible worker of the pool until {@link #release}. Returns empty if no
     * worker is known to have a free slot.
     *
     * @param excluded workers that the request was already sent to
     */
    public Optional<WorkerSlot> choose(PoolId pool, Set<WorkerId> excluded) {
        long nowMillis = time.nowMillis();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            List<Candidate> eligible =
                    eligible(pool, nowMillis).stream()
                            .filter(candidate -> !excluded.contains(candidate.worker()))
                            .filter(candidate -> hasFreeSlot(candidate, nowMillis))
                            .toList();
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            Candidate chosen = lessLoadedOfTwo(eligible);
            if (tryReserve(chosen, nowMillis)) {
                return Optional.of(new WorkerSlot(chosen.worker(), chosen.address()));
            }
        }
        return Optional.empty();
    }

    /** Whether the pool has an eligible worker, with or without a free slot. */
    public boolean servesPool(PoolId pool) {
        return !eligible(pool, time.nowMillis()).isEmpty();
    }

    /** Number of slots of the pool's eligible workers, including those that siblings use. */
    public int slots(PoolId pool) {
        return eligible(pool, time.nowMillis()).stream().mapToInt(Candidate::slots).sum();
    }

    /** Releases a slot and records the outcome of the attempt. */
    public void release(WorkerId worker, AttemptOutcome outcome) {
        long nowMillis = time.nowMillis();
        withLoad(
                worker,
                load -> {
                    load.finish(outcome, nowMillis);
                    return null;
                });
    }

    /** Replaces the load of a sibling by its requests in flight by worker, without demand. */
    public void updateSiblingLoad(InstanceId sibling, Map<WorkerId, Integer> inFlight) {
        updateSiblingLoad(sibling, inFlight, Map.of());
    }

    /**
     * Replaces the load of a sibling by its latest report.
     *
     * @param inFlight the sibling's requests in flight by worker
     * @param demand the sibling's requests in flight and waiting by pool
     */
    public void updateSiblingLoad(
            InstanceId sibling, Map<WorkerId, Integer> inFlight, Map<PoolId, Integer> demand) {
        reportLock.lock();
        try {
            removeReport(sibling);
            siblingReports.put(sibling, new SiblingReport(time.nowMillis(), inFlight, demand));
            inFlight.forEach((worker, count) -> addSiblingInFlight(worker, count));
        } finally {
            reportLock.unlock();
        }
    }

    /**
     * Number of the pool's slots that this instance may use: all slots if they suffice for the
     * demand of all instances, otherwise a share in proportion to the demand of this instance.
     * Without this bound, an instance that holds slots takes each slot again as soon as it is
     * released, and instances without slots never get one.
     *
     * @param demand number of requests that run or wait on this instance
     */
    public int slotShare(PoolId pool, int demand) {
        int totalDemand = demand;
        reportLock.lock();
        try {
            for (SiblingReport report : siblingReports.values()) {
                totalDemand += report.demand().getOrDefault(pool, 0);
            }
        } finally {
            reportLock.unlock();
        }
        int slots = slots(pool);
        return totalDemand <= slots
                ? slots
                : (int) (((long) slots * demand + totalDemand - 1) / totalDemand);
    }

    /**
     * Number of requests in flight on the worker from this instance and the given siblings, or
     * empty if there is no valid report of one of them.
     */
    public OptionalInt inFlight(WorkerId worker, Set<InstanceId> siblings) {
        int count = inFlight().getOrDefault(worker, 0);
        reportLock.lock();
        try {
            for (InstanceId sibling : siblings) {
                SiblingReport report = siblingReports.get(sibling);
                if (report == null) {
                    return OptionalInt.empty();
                }
                count += report.inFlight().getOrDefault(worker, 0);
            }
        } finally {
            reportLock.unlock();
        }
        return OptionalInt.of(count);
    }

    /** Total number of requests in flight and waiting on all siblings by pool, as they reported. */
    public Map<PoolId, Integer> siblingDemand() {
        Map<PoolId, Integer> demand = new HashMap<>();
        reportLock.lock();
        try {
            for (SiblingReport report : siblingReports.values()) {
                report.demand().forEach((pool, count) -> demand.merge(pool, count, Integer::sum));
            }
        } finally {
            reportLock.unlock();
        }
        return demand;
    }

    /** Removes reports that are older than {@link #REPORT_VALID_MILLIS}. */
    public void removeExpiredReports() {
        long nowMillis = time.nowMillis();
        reportLock.lock();
        try {
            List<InstanceId> expired = new ArrayList<>();
            siblingReports.forEach(
                    (sibling, report) -> {
                        if (nowMillis - report.receivedMillis() >= REPORT_VALID_MILLIS) {
                            expired.add(sibling);
                        }
                    });
            expired.forEach(this::removeReport);
        } finally {
            reportLock.unlock();
        }
    }

    /** Number of requests of this instance in flight by worker, for the report to siblings. */
    public Map<WorkerId, Integer> inFlight() {
        Map<WorkerId, Integer> counts = new TreeMap<>();
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.loads.forEach(
                        (worker, load) -> {
                            if (load.ownInFlight > 0) {
                                counts.put(worker, load.ownInFlight);
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
        }
        return counts;
    }

    /** Records that a target announced its shutdown, such as by {@code Connection: close}. */
    public void markShuttingDown(WorkerId worker) {
        long untilMillis = time.nowMillis() + SHUTDOWN_VALID_MILLIS;
        withLoad(
                worker,
                load -> {
                    load.markShuttingDown(untilMillis);
                    return null;
                });
    }

    /** Whether this instance has ejected the worker because of failures. */
    public boolean isEjected(WorkerId worker) {
        long nowMillis = time.nowMillis();
        return withLoad(worker, load -> load.isEjected(nowMillis));
    }

    /**
     * Workers of the pool that may receive requests. If more workers are ejected than {@link
     * #MAX_EJECTED_FRACTION} permits, those whose ejection ends first are included.
     */
    private List<Candidate> eligible(PoolId pool, long nowMillis) {
        List<Candidate> healthy = new ArrayList<>();
        List<Candidate> ejected = new ArrayList<>();
        for (Candidate candidate : currentIndex().workers(pool)) {
            WorkerId worker = candidate.worker();
            if (isLeaving.test(worker)
                    || withLoad(worker, load -> load.isShuttingDown(nowMillis))) {
                continue;
            }
            (withLoad(worker, load -> load.isEjected(nowMillis)) ? ejected : healthy)
                    .add(candidate);
        }
        int count = healthy.size() + ejected.size();
        int maxEjected = Math.max(count > 1 ? 1 : 0, (int) (count * MAX_EJECTED_FRACTION));
        if (ejected.size() > maxEjected) {
            ejected.sort(
                    Comparator.comparingLong(
                            candidate ->
                                    withLoad(candidate.worker(), WorkerLoad::ejectedUntilMillis)));
            healthy.addAll(ejected.subList(0, ejected.size() - maxEjected));
        }
        return healthy;
    }

    private PoolIndex currentIndex() {
        ConfigSnapshot snapshot = config.snapshot();
        PoolIndex current = index;
        if (!current.isIndexOf(snapshot)) {
            current = PoolIndex.of(snapshot);
            index = current;
        }
        return current;
    }

    private boolean hasFreeSlot(Candidate candidate, long nowMillis) {
        return withLoad(candidate.worker(), load -> load.hasFreeSlot(candidate.slots(), nowMillis));
    }

    private boolean tryReserve(Candidate candidate, long nowMillis) {
        return withLoad(
                candidate.worker(),
                load -> {
                    if (!load.hasFreeSlot(candidate.slots(), nowMillis)) {
                        return false;
                    }
                    load.start();
                    return true;
                });
    }

    private Candidate lessLoadedOfTwo(List<Candidate> eligible) {
        if (eligible.size() == 1) {
            return eligible.get(0);
        }
        int firstIndex = random.nextInt(eligible.size());
        int secondIndex = random.nextInt(eligible.size() - 1);
        Candidate first = eligible.get(firstIndex);
        Candidate second = eligible.get(secondIndex < firstIndex ? secondIndex : secondIndex + 1);
        return withLoad(second.worker(), WorkerLoad::totalInFlight)
                        < withLoad(first.worker(), WorkerLoad::totalInFlight)
                ? second
                : first;
    }

    private void removeReport(InstanceId sibling) {
        SiblingReport previous = siblingReports.remove(sibling);
        if (previous != null) {
            previous.inFlight().forEach((worker, count) -> addSiblingInFlight(worker, -count));
        }
    }

    private void addSiblingInFlight(WorkerId worker, int count) {
        withLoad(
                worker,
                load -> {
                    load.siblingInFlight += count;
                    return null;
                });
    }

    private <T> T withLoad(WorkerId worker, Function<WorkerLoad, T> action) {
        Shard shard = shards.get(Math.floorMod(worker.hashCode(), SHARD_COUNT));
        shard.lock.lock();
        try {
            return action.apply(shard.loads.computeIfAbsent(worker, id -> new WorkerLoad()));
        } finally {
            shard.lock.unlock();
        }
    }

    /** Workers that share a lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerLoad> loads = new HashMap<>();
    }
}
