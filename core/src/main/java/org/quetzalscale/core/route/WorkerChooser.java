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
 * Chooses a worker for each request: the better of two random eligible workers, judged by the
 * requests of this instance on it plus those that siblings reported. Ejects workers that fail all
 * they start. Safe for several threads; the state of the workers is split into shards.
 */
public final class WorkerChooser {
    /**
     * Time for which a report of a sibling counts, in milliseconds. A changed load is reported each
     * 100 ms, an unchanged one each second, so this is well above a second.
     */
    public static final long REPORT_VALID_MILLIS = 2_500;

    /** Time for which a shutdown that a target announced counts, in milliseconds. */
    public static final long SHUTDOWN_VALID_MILLIS = 30_000;

    /** Largest share of a pool's workers that are ejected at once; one of two or more may be. */
    public static final double MAX_EJECTED_SHARE = 0.34;

    private static final int SHARD_COUNT = 16;
    private static final int MAX_ATTEMPTS = 3;

    private final ConfigSource config;
    private final Predicate<WorkerId> leaving;
    private final RandomGenerator random;
    private final TimeSource time;
    private final List<Shard> shards = new ArrayList<>();
    private final ReentrantLock reportLock = new ReentrantLock();
    private final Map<InstanceId, SiblingReport> reports = new HashMap<>();
    private volatile PoolIndex index = PoolIndex.of(ConfigSnapshot.EMPTY);

    /**
     * A chooser without any load.
     *
     * @param leaving whether the platform's list shows a worker as leaving or gone
     * @param random source of choices; safe for several threads, such as {@link java.util.Random}
     */
    public WorkerChooser(
            ConfigSource config,
            Predicate<WorkerId> leaving,
            RandomGenerator random,
            TimeSource time) {
        this.config = config;
        this.leaving = leaving;
        this.random = random;
        this.time = time;
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards.add(new Shard());
        }
    }

    /**
     * Takes a slot on an eligible worker of the pool; empty if none has a free one, as far as
     * known. The slot is held until {@link #release}.
     *
     * @param except workers that the request was sent to before
     */
    public Optional<WorkerSlot> choose(PoolId pool, Set<WorkerId> except) {
        long nowMillis = time.nowMillis();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            List<Candidate> eligible =
                    eligible(pool, nowMillis).stream()
                            .filter(candidate -> !except.contains(candidate.worker()))
                            .filter(candidate -> hasFreeSlot(candidate, nowMillis))
                            .toList();
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            Candidate chosen = betterOfTwo(eligible);
            if (start(chosen, nowMillis)) {
                return Optional.of(new WorkerSlot(chosen.worker(), chosen.address()));
            }
        }
        return Optional.empty();
    }

    /** Whether any worker of the pool could take work if it had a free slot. */
    public boolean servesPool(PoolId pool) {
        return !eligible(pool, time.nowMillis()).isEmpty();
    }

    /** Slots of the pool's eligible workers, those in use by siblings included. */
    public int slots(PoolId pool) {
        return eligible(pool, time.nowMillis()).stream().mapToInt(Candidate::slots).sum();
    }

    /** Gives a slot back and records how the attempt on it ended. */
    public void release(WorkerId worker, AttemptOutcome outcome) {
        long nowMillis = time.nowMillis();
        with(
                worker,
                load -> {
                    load.finish(outcome, nowMillis);
                    return null;
                });
    }

    /** Takes over a sibling's requests in flight by worker, without its demands. */
    public void updateSiblingLoad(InstanceId sibling, Map<WorkerId, Integer> inFlight) {
        updateSiblingLoad(sibling, inFlight, Map.of());
    }

    /**
     * Takes over what a sibling reported.
     *
     * @param inFlight its requests in flight by worker
     * @param demand its requests in flight and waiting by pool
     */
    public void updateSiblingLoad(
            InstanceId sibling, Map<WorkerId, Integer> inFlight, Map<PoolId, Integer> demand) {
        reportLock.lock();
        try {
            drop(sibling);
            reports.put(sibling, new SiblingReport(time.nowMillis(), inFlight, demand));
            inFlight.forEach((worker, count) -> addSiblings(worker, count));
        } finally {
            reportLock.unlock();
        }
    }

    /**
     * The part of the pool's slots that this instance should use, in proportion to its demand; all
     * slots if they suffice for the demands of all instances. Without it, instances that hold slots
     * take each slot that becomes free again, and those without never get one.
     *
     * @param demand requests of this instance that run or wait
     */
    public int slotShare(PoolId pool, int demand) {
        int all = demand;
        reportLock.lock();
        try {
            for (SiblingReport report : reports.values()) {
                all += report.demand().getOrDefault(pool, 0);
            }
        } finally {
            reportLock.unlock();
        }
        int slots = slots(pool);
        return all <= slots ? slots : (int) (((long) slots * demand + all - 1) / all);
    }

    /**
     * Requests in flight on the worker from this instance and the given siblings, or empty if one
     * of them has sent no report lately.
     */
    public OptionalInt inFlight(WorkerId worker, Set<InstanceId> siblings) {
        int count = inFlight().getOrDefault(worker, 0);
        reportLock.lock();
        try {
            for (InstanceId sibling : siblings) {
                SiblingReport report = reports.get(sibling);
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

    /** Requests of all siblings in flight and waiting by pool, as they reported. */
    public Map<PoolId, Integer> siblingDemand() {
        Map<PoolId, Integer> demand = new HashMap<>();
        reportLock.lock();
        try {
            for (SiblingReport report : reports.values()) {
                report.demand().forEach((pool, count) -> demand.merge(pool, count, Integer::sum));
            }
        } finally {
            reportLock.unlock();
        }
        return demand;
    }

    /** Drops reports of siblings that have sent none for 2.5 s. */
    public void removeExpiredReports() {
        long nowMillis = time.nowMillis();
        reportLock.lock();
        try {
            List<InstanceId> silent = new ArrayList<>();
            reports.forEach(
                    (sibling, report) -> {
                        if (nowMillis - report.receivedMillis() >= REPORT_VALID_MILLIS) {
                            silent.add(sibling);
                        }
                    });
            silent.forEach(this::drop);
        } finally {
            reportLock.unlock();
        }
    }

    /** Requests of this instance in flight by worker, for the report to siblings. */
    public Map<WorkerId, Integer> inFlight() {
        Map<WorkerId, Integer> counts = new TreeMap<>();
        for (Shard shard : shards) {
            shard.lock.lock();
            try {
                shard.loads.forEach(
                        (worker, load) -> {
                            if (load.own > 0) {
                                counts.put(worker, load.own);
                            }
                        });
            } finally {
                shard.lock.unlock();
            }
        }
        return counts;
    }

    /** Notes that a target announced its shutdown, such as by {@code Connection: close}. */
    public void markShuttingDown(WorkerId worker) {
        long untilMillis = time.nowMillis() + SHUTDOWN_VALID_MILLIS;
        with(
                worker,
                load -> {
                    load.announceShutdown(untilMillis);
                    return null;
                });
    }

    /** Whether this instance has ejected the worker for its failures. */
    public boolean isEjected(WorkerId worker) {
        long nowMillis = time.nowMillis();
        return with(worker, load -> load.isEjected(nowMillis));
    }

    /** Workers of the pool that take work; of the ejected ones, those above the largest share. */
    private List<Candidate> eligible(PoolId pool, long nowMillis) {
        List<Candidate> working = new ArrayList<>();
        List<Candidate> ejected = new ArrayList<>();
        for (Candidate candidate : currentIndex().workers(pool)) {
            WorkerId worker = candidate.worker();
            if (leaving.test(worker) || with(worker, load -> load.isShuttingDown(nowMillis))) {
                continue;
            }
            (with(worker, load -> load.isEjected(nowMillis)) ? ejected : working).add(candidate);
        }
        int count = working.size() + ejected.size();
        int permitted = Math.max(count > 1 ? 1 : 0, (int) (count * MAX_EJECTED_SHARE));
        if (ejected.size() > permitted) {
            ejected.sort(
                    Comparator.comparingLong(
                            candidate -> with(candidate.worker(), WorkerLoad::ejectedUntilMillis)));
            working.addAll(ejected.subList(0, ejected.size() - permitted));
        }
        return working;
    }

    private PoolIndex currentIndex() {
        ConfigSnapshot snapshot = config.snapshot();
        PoolIndex current = index;
        if (!current.isOf(snapshot)) {
            current = PoolIndex.of(snapshot);
            index = current;
        }
        return current;
    }

    private boolean hasFreeSlot(Candidate candidate, long nowMillis) {
        return with(candidate.worker(), load -> load.hasFreeSlot(candidate.slots(), nowMillis));
    }

    private boolean start(Candidate candidate, long nowMillis) {
        return with(
                candidate.worker(),
                load -> {
                    if (!load.hasFreeSlot(candidate.slots(), nowMillis)) {
                        return false;
                    }
                    load.start();
                    return true;
                });
    }

    private Candidate betterOfTwo(List<Candidate> eligible) {
        if (eligible.size() == 1) {
            return eligible.get(0);
        }
        int firstAt = random.nextInt(eligible.size());
        int secondAt = random.nextInt(eligible.size() - 1);
        Candidate first = eligible.get(firstAt);
        Candidate second = eligible.get(secondAt < firstAt ? secondAt : secondAt + 1);
        return with(second.worker(), WorkerLoad::total) < with(first.worker(), WorkerLoad::total)
                ? second
                : first;
    }

    private void drop(InstanceId sibling) {
        SiblingReport former = reports.remove(sibling);
        if (former != null) {
            former.inFlight().forEach((worker, count) -> addSiblings(worker, -count));
        }
    }

    private void addSiblings(WorkerId worker, int count) {
        with(
                worker,
                load -> {
                    load.siblings += count;
                    return null;
                });
    }

    private <T> T with(WorkerId worker, Function<WorkerLoad, T> action) {
        Shard shard = shards.get(Math.floorMod(worker.hashCode(), SHARD_COUNT));
        shard.lock.lock();
        try {
            return action.apply(shard.loads.computeIfAbsent(worker, id -> new WorkerLoad()));
        } finally {
            shard.lock.unlock();
        }
    }

    /** Workers that fall on one lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerLoad> loads = new HashMap<>();
    }
}
