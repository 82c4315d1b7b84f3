package org.quetzalscale.core.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.limit.TeamUnits;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.route.Place;
import org.quetzalscale.core.route.WorkerChooser;
import org.quetzalscale.core.time.TimeSource;

/**
 * Admits requests: one unit of the team's limit and one slot of a worker for each. Safe for several
 * threads.
 */
public final class FairAdmission implements Admission {
    private final ConfigSource config;
    private final TeamUnits units;
    private final WorkerChooser workers;
    private final TimeSource time;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<PoolId, List<Waiting>> waiting = new HashMap<>();

    /** An admission without waiting requests. */
    public FairAdmission(
            ConfigSource config, TeamUnits units, WorkerChooser workers, TimeSource time) {
        this.config = config;
        this.units = units;
        this.workers = workers;
        this.time = time;
    }

    @Override
    public CompletionStage<Assignment> admit(AdmissionRequest request) {
        if (!config.isValid()) {
            return refuse(ErrorKind.CONFIG_STALE, "the configuration may be out of date");
        }
        Optional<QueueSpec> queue = config.snapshot().queue(request.queue());
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
        Waiting entry = new Waiting(request, pool, time.nowMillis());
        lock.lock();
        try {
            List<Waiting> queued = waiting.computeIfAbsent(pool, id -> new ArrayList<>());
            if (request.team().isPresent() && units.isUsedUp(request.team().get())) {
                return refuse(
                        ErrorKind.LIMIT_REACHED,
                        "team " + request.team().get() + " runs its whole upper limit");
            }
            long ahead =
                    queued.stream()
                            .filter(other -> other.request.queue().equals(request.queue()))
                            .count();
            if (ahead > 0 && ahead >= queue.get().maxQueued()) {
                return refuse(
                        ErrorKind.QUEUE_FULL,
                        "queue \"" + request.queue() + "\" holds " + ahead + " waiting requests");
            }
            queued.add(entry);
        } finally {
            lock.unlock();
        }
        dispatch(pool);
        return entry.answer;
    }

    /** Ends requests whose deadline passed and starts those that can; called each 20 ms or so. */
    public void tick() {
        long nowMillis = time.nowMillis();
        List<Waiting> late = new ArrayList<>();
        List<PoolId> pools;
        lock.lock();
        try {
            for (List<Waiting> queued : waiting.values()) {
                for (Waiting entry : queued) {
                    if (nowMillis >= entry.request.deadlineMillis()) {
                        late.add(entry);
                    }
                }
                queued.removeAll(late);
            }
            pools = List.copyOf(waiting.keySet());
        } finally {
            lock.unlock();
        }
        for (Waiting entry : late) {
            entry.answer.completeExceptionally(
                    new QuetzalscaleException(
                            ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while it waited"));
        }
        pools.forEach(this::dispatch);
    }

    /** Starts what waits for units of the team, after units arrived. */
    public void unitsArrived(TeamId team) {
        tick();
    }

    private void dispatch(PoolId pool) {
        List<Runnable> starts = new ArrayList<>();
        lock.lock();
        try {
            Iterator<Waiting> queued = waiting.getOrDefault(pool, List.of()).iterator();
            while (queued.hasNext()) {
                Waiting entry = queued.next();
                if (entry.answer.isDone()) {
                    queued.remove();
                    continue;
                }
                Optional<TeamId> team = entry.request.team();
                if (team.isPresent() && !units.tryAcquire(team.get())) {
                    continue;
                }
                Optional<Place> place = workers.choose(pool, Set.of());
                if (place.isEmpty()) {
                    team.ifPresent(units::release);
                    break;
                }
                queued.remove();
                starts.add(() -> start(entry, place.get()));
            }
        } finally {
            lock.unlock();
        }
        starts.forEach(Runnable::run);
    }

    private void start(Waiting entry, Place place) {
        HeldAssignment assignment = new HeldAssignment(this, entry, place, Set.of());
        if (!entry.answer.complete(assignment)) {
            assignment.finish(AttemptOutcome.ABANDONED);
        }
    }

    Optional<Assignment> retry(HeldAssignment assignment, AttemptOutcome failed) {
        Set<WorkerId> tried = assignment.triedWithThis();
        return workers.choose(assignment.entry().pool, tried)
                .map(
                        place -> {
                            workers.release(assignment.worker(), failed);
                            return new HeldAssignment(this, assignment.entry(), place, tried);
                        });
    }

    void finish(HeldAssignment assignment, AttemptOutcome outcome) {
        workers.release(assignment.worker(), outcome);
        assignment.entry().request.team().ifPresent(units::release);
        dispatch(assignment.entry().pool);
    }

    private static CompletionStage<Assignment> refuse(ErrorKind kind, String message) {
        return CompletableFuture.failedFuture(new QuetzalscaleException(kind, message));
    }
}
