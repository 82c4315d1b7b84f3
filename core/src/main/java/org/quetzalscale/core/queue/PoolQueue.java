package org.quetzalscale.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;

/**
 * Requests that wait for slots of one pool. The class with the least used slot time for its share
 * is next, so that backlogged classes get slots in proportion to their shares whatever their
 * service times. Guarded by the lock of its shard.
 */
final class PoolQueue {
    private final Map<Optional<TeamId>, ClassQueue> classes = new HashMap<>();
    private final Map<QueueId, Integer> queued = new HashMap<>();
    private final Map<QueueId, ServiceTimes> serviceTimes = new HashMap<>();
    private final PriorityQueue<Waiting> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(w -> w.request.deadlineMillis()));
    private double virtualMillis;
    private int running;
    private int waiting;

    /** Requests of the queue resource that wait here. */
    int queued(QueueId queue) {
        return queued.getOrDefault(queue, 0);
    }

    /** Requests that run or wait. */
    int demand() {
        return running + waiting;
    }

    /** Requests that run. */
    int running() {
        return running;
    }

    boolean waits(TeamId team) {
        ClassQueue own = classes.get(Optional.of(team));
        return own != null && own.size() > 0;
    }

    void add(Waiting entry) {
        ClassQueue own = classQueue(entry);
        own.share = entry.share;
        if (own.size() == 0) {
            own.virtualMillis = Math.max(own.virtualMillis, virtualMillis);
        }
        own.add(entry);
        entry.isQueued = true;
        byDeadline.add(entry);
        count(entry, 1);
    }

    /** Takes a waiting request out; false if it does not wait any more. */
    boolean withdraw(Waiting entry) {
        if (!entry.isQueued) {
            return false;
        }
        entry.isQueued = false;
        classQueue(entry).withdraw();
        count(entry, -1);
        return true;
    }

    /** Takes out the requests whose deadline passed. */
    List<Waiting> removeLate(long nowMillis) {
        List<Waiting> late = new ArrayList<>();
        while (!byDeadline.isEmpty()) {
            Waiting next = byDeadline.peek();
            if (next.isQueued && nowMillis < next.request.deadlineMillis()) {
                break;
            }
            byDeadline.remove();
            if (withdraw(next)) {
                late.add(next);
            }
        }
        return late;
    }

    /**
     * Starts waiting requests in fair order until no slot is free.
     *
     * @param start tries to start a request
     * @param late told each request whose deadline can't be met any more
     */
    void dispatch(long nowMillis, Function<Waiting, StartResult> start, Consumer<Waiting> late) {
        List<ClassQueue> open = new ArrayList<>();
        for (ClassQueue one : classes.values()) {
            if (one.size() > 0) {
                open.add(one);
            }
        }
        while (!open.isEmpty()) {
            ClassQueue next = open.get(0);
            for (ClassQueue one : open) {
                if (one.virtualMillis < next.virtualMillis) {
                    next = one;
                }
            }
            Waiting head = next.head();
            if (head == null) {
                open.remove(next);
                continue;
            }
            if (isTooLate(head, nowMillis)) {
                remove(next, head);
                late.accept(head);
                continue;
            }
            StartResult result = start.apply(head);
            if (result == StartResult.NO_SLOT) {
                return;
            }
            if (result == StartResult.NO_UNIT) {
                open.remove(next);
                continue;
            }
            remove(next, head);
            running++;
            virtualMillis = Math.max(virtualMillis, next.virtualMillis);
            next.virtualMillis += chargeMillis(head) / next.share;
        }
    }

    /** Slot time that a request is charged when it starts, in milliseconds. */
    double chargeMillis(Waiting entry) {
        return times(entry).meanMillis();
    }

    /**
     * Corrects the charge of a request that has ended.
     *
     * @param ranToItsEnd whether its duration is a service time
     */
    void finish(
            Waiting entry, double chargedMillis, long ranMillis, boolean ranToItsEnd, long now) {
        running--;
        classQueue(entry).virtualMillis += (ranMillis - chargedMillis) / entry.share;
        if (ranToItsEnd) {
            times(entry).record(ranMillis, now);
        }
    }

    /** Whether a request that waits can't end by its deadline, by recent service times. */
    boolean isHopeless(Waiting entry, long nowMillis) {
        ServiceTimes times = times(entry);
        if (!times.isKnown(nowMillis) || running == 0) {
            return false;
        }
        double waitMillis = ahead(entry) * times.meanMillis() / running;
        return nowMillis + waitMillis + times.shortestMillis() > entry.request.deadlineMillis();
    }

    /** Requests that start before this one, which is the last of its class and priority. */
    private double ahead(Waiting entry) {
        ClassQueue own = classQueue(entry);
        double shares = 0;
        for (ClassQueue one : classes.values()) {
            shares += one.size() > 0 ? one.share : 0;
        }
        int ahead = Math.max(0, own.ahead(entry.request.urgent()) - 1);
        return Math.min(waiting - 1, ahead * shares / own.share);
    }

    private boolean isTooLate(Waiting entry, long nowMillis) {
        ServiceTimes times = times(entry);
        long needed = times.isKnown(nowMillis) ? times.shortestMillis() : 0;
        return nowMillis + needed >= entry.request.deadlineMillis();
    }

    private void remove(ClassQueue own, Waiting head) {
        own.removeHead(head);
        head.isQueued = false;
        count(head, -1);
    }

    private void count(Waiting entry, int change) {
        queued.merge(entry.request.queue(), change, Integer::sum);
        waiting += change;
    }

    private ServiceTimes times(Waiting entry) {
        return serviceTimes.computeIfAbsent(entry.request.queue(), id -> new ServiceTimes());
    }

    private ClassQueue classQueue(Waiting entry) {
        return classes.computeIfAbsent(entry.request.team(), id -> new ClassQueue());
    }
}
