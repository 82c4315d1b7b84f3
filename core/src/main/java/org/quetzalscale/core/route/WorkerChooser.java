package org.quetzalscale.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
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
 * requests of this instance on it plus those that siblings reported. Safe for several threads.
 */
public final class WorkerChooser {
    /** Time for which a report of a sibling counts, in milliseconds; reports come each 100 ms. */
    public static final long REPORT_VALID_MILLIS = 1_000;

    /** Time for which a shutdown that a target announced counts, in milliseconds. */
    public static final long SHUTDOWN_VALID_MILLIS = 30_000;

    private final ConfigSource config;
    private final Predicate<WorkerId> leaving;
    private final RandomGenerator random;
    private final TimeSource time;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, WorkerLoad> loads = new HashMap<>();
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
    }

    /**
     * Takes a slot on an eligible worker of the pool; empty if none has a free one. The slot is
     * held until {@link #release}.
     *
     * @param except workers that the request was sent to before
     */
    public Optional<Place> choose(PoolId pool, Set<WorkerId> except) {
        List<Candidate> candidates = currentIndex().workers(pool);
        long nowMillis = time.nowMillis();
        lock.lock();
        try {
            List<Candidate> eligible = new ArrayList<>(candidates.size());
            for (Candidate candidate : candidates) {
                if (!except.contains(candidate.worker()) && takesWork(candidate, nowMillis)) {
                    eligible.add(candidate);
                }
            }
            if (eligible.isEmpty()) {
                return Optional.empty();
            }
            Candidate chosen = betterOfTwo(eligible);
            load(chosen.worker()).own++;
            return Optional.of(new Place(chosen.worker(), chosen.address()));
        } finally {
            lock.unlock();
        }
    }

    /** Whether any worker of the pool could take work if it had a free slot. */
    public boolean servesPool(PoolId pool) {
        long nowMillis = time.nowMillis();
        for (Candidate candidate : currentIndex().workers(pool)) {
            lock.lock();
            try {
                if (isEligible(candidate, nowMillis)) {
                    return true;
                }
            } finally {
                lock.unlock();
            }
        }
        return false;
    }

    /** Gives a slot back and records how the attempt on it ended. */
    public void release(WorkerId worker, AttemptOutcome outcome) {
        lock.lock();
        try {
            WorkerLoad load = load(worker);
            load.own--;
        } finally {
            lock.unlock();
        }
    }

    /** Takes over what a sibling reported: its requests in flight by worker. */
    public void report(InstanceId sibling, Map<WorkerId, Integer> inFlight) {
        lock.lock();
        try {
            drop(sibling);
            reports.put(sibling, new SiblingReport(time.nowMillis(), inFlight));
            inFlight.forEach((worker, count) -> load(worker).siblings += count);
        } finally {
            lock.unlock();
        }
    }

    /** Requests of this instance in flight by worker, for the report to siblings. */
    public Map<WorkerId, Integer> inFlight() {
        lock.lock();
        try {
            Map<WorkerId, Integer> counts = new TreeMap<>();
            loads.forEach(
                    (worker, load) -> {
                        if (load.own > 0) {
                            counts.put(worker, load.own);
                        }
                    });
            return counts;
        } finally {
            lock.unlock();
        }
    }

    /** Notes that a target announced its shutdown, such as by {@code Connection: close}. */
    public void announceShutdown(WorkerId worker) {
        lock.lock();
        try {
            load(worker).shutdownUntilMillis = time.nowMillis() + SHUTDOWN_VALID_MILLIS;
        } finally {
            lock.unlock();
        }
    }

    /** Drops reports of siblings that have sent none for a second. */
    public void expireReports() {
        long nowMillis = time.nowMillis();
        lock.lock();
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
            lock.unlock();
        }
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

    private boolean takesWork(Candidate candidate, long nowMillis) {
        return load(candidate.worker()).own < candidate.slots() && isEligible(candidate, nowMillis);
    }

    private boolean isEligible(Candidate candidate, long nowMillis) {
        WorkerLoad load = load(candidate.worker());
        return nowMillis >= load.shutdownUntilMillis && !leaving.test(candidate.worker());
    }

    private Candidate betterOfTwo(List<Candidate> eligible) {
        Candidate first = eligible.get(random.nextInt(eligible.size()));
        Candidate second = eligible.get(random.nextInt(eligible.size()));
        return load(second.worker()).total() < load(first.worker()).total() ? second : first;
    }

    private void drop(InstanceId sibling) {
        SiblingReport former = reports.remove(sibling);
        if (former != null) {
            former.inFlight().forEach((worker, count) -> load(worker).siblings -= count);
        }
    }

    private WorkerLoad load(WorkerId worker) {
        return loads.computeIfAbsent(worker, id -> new WorkerLoad());
    }
}
