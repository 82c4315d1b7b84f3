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
 * Weighted fair queue of the requests that wait for slots of one pool. The team with the lowest
 * virtual time (used slot time divided by its share) is served next, so teams with a backlog get
 * slot time in proportion to their shares, whatever their service times. Guarded by the lock of its
 * shard.
 */
final class PoolQueue {
    private final Map<Optional<TeamId>, TeamQueue> teams = new HashMap<>();
    private final Map<QueueId, Integer> waitingByQueue = new HashMap<>();
    private final Map<QueueId, ServiceTimes> timesByQueue = new HashMap<>();
    private final PriorityQueue<PendingRequest> byDeadline =
            new PriorityQueue<>(
                    Comparator.comparingLong(pending -> pending.request.deadlineMillis()));
    private double virtualTimeMillis;
    private int running;
    private int waiting;

    /** Number of waiting requests of a queue resource. */
    int waitingCount(QueueId queue) {
        return waitingByQueue.getOrDefault(queue, 0);
    }

    /** Number of requests that run or wait. */
    int demand() {
        return running + waiting;
    }

    /** Number of requests that run. */
    int running() {
        return running;
    }

    boolean hasWaiting(TeamId id) {
        TeamQueue team = teams.get(Optional.of(id));
        return team != null && team.size() > 0;
    }

    void add(PendingRequest pending) {
        TeamQueue team = teamQueue(pending);
        team.share = pending.share;
        if (team.size() == 0) {
            team.virtualTimeMillis = Math.max(team.virtualTimeMillis, virtualTimeMillis);
        }
        team.add(pending);
        pending.isQueued = true;
        byDeadline.add(pending);
        addWaiting(pending, 1);
    }

    /** Removes a waiting request; returns false if it no longer waits. */
    boolean withdraw(PendingRequest pending) {
        if (!pending.isQueued) {
            return false;
        }
        pending.isQueued = false;
        teamQueue(pending).countWithdrawal();
        addWaiting(pending, -1);
        return true;
    }

    /** Removes and returns the waiting requests whose deadline has passed. */
    List<PendingRequest> removeExpired(long nowMillis) {
        List<PendingRequest> expired = new ArrayList<>();
        while (!byDeadline.isEmpty()) {
            PendingRequest next = byDeadline.peek();
            if (next.isQueued && nowMillis < next.request.deadlineMillis()) {
                break;
            }
            byDeadline.remove();
            if (withdraw(next)) {
                expired.add(next);
            }
        }
        return expired;
    }

    /**
     * Starts waiting requests in the order of fair queueing until no slot is free.
     *
     * @param start tries to start a request
     * @param expired called with each removed request whose deadline can no longer be met
     */
    void dispatch(
            long nowMillis,
            Function<PendingRequest, StartResult> start,
            Consumer<PendingRequest> expired) {
        List<TeamQueue> backlogged = new ArrayList<>();
        for (TeamQueue team : teams.values()) {
            if (team.size() > 0) {
                backlogged.add(team);
            }
        }
        while (!backlogged.isEmpty()) {
            TeamQueue next = backlogged.get(0);
            for (TeamQueue team : backlogged) {
                if (team.virtualTimeMillis < next.virtualTimeMillis) {
                    next = team;
                }
            }
            PendingRequest head = next.head();
            if (head == null) {
                backlogged.remove(next);
                continue;
            }
            if (canNotMeetDeadline(head, nowMillis)) {
                remove(next, head);
                expired.accept(head);
                continue;
            }
            StartResult result = start.apply(head);
            if (result == StartResult.NO_SLOT) {
                return;
            }
            if (result == StartResult.NO_UNIT) {
                backlogged.remove(next);
                continue;
            }
            remove(next, head);
            running++;
            virtualTimeMillis = Math.max(virtualTimeMillis, next.virtualTimeMillis);
            next.virtualTimeMillis += chargeMillis(head) / next.share;
        }
    }

    /** Slot time charged to a request when it starts, in milliseconds: the mean service time. */
    double chargeMillis(PendingRequest pending) {
        return serviceTimes(pending).meanMillis();
    }

    /**
     * Replaces the charge of a completed request by the slot time that it used.
     *
     * @param ranMillis duration of the request, in milliseconds
     * @param isServiceTime whether the duration counts as a sample of the service time, which
     *     requires that the target responded
     */
    void finish(
            PendingRequest pending,
            double chargedMillis,
            long ranMillis,
            boolean isServiceTime,
            long now) {
        running--;
        teamQueue(pending).virtualTimeMillis += (ranMillis - chargedMillis) / pending.share;
        if (isServiceTime) {
            serviceTimes(pending).record(ranMillis, now);
        }
    }

    /**
     * Whether a waiting request is expected to miss its deadline, based on recent service times.
     */
    boolean willMissDeadline(PendingRequest pending, long nowMillis) {
        ServiceTimes times = serviceTimes(pending);
        if (!times.hasRecentSamples(nowMillis) || running == 0) {
            return false;
        }
        double waitMillis = requestsAhead(pending) * times.meanMillis() / running;
        return nowMillis + waitMillis + times.shortestMillis() > pending.request.deadlineMillis();
    }

    /**
     * Estimated number of requests that start before the given one, which is the last of its team
     * and priority.
     */
    private double requestsAhead(PendingRequest pending) {
        TeamQueue team = teamQueue(pending);
        double shares = 0;
        for (TeamQueue other : teams.values()) {
            shares += other.size() > 0 ? other.share : 0;
        }
        int ahead = Math.max(0, team.requestsAhead(pending.request.urgent()) - 1);
        return Math.min(waiting - 1, ahead * shares / team.share);
    }

    private boolean canNotMeetDeadline(PendingRequest pending, long nowMillis) {
        ServiceTimes times = serviceTimes(pending);
        long needed = times.hasRecentSamples(nowMillis) ? times.shortestMillis() : 0;
        return nowMillis + needed >= pending.request.deadlineMillis();
    }

    private void remove(TeamQueue team, PendingRequest head) {
        team.removeHead(head);
        head.isQueued = false;
        addWaiting(head, -1);
    }

    private void addWaiting(PendingRequest pending, int change) {
        waitingByQueue.merge(pending.request.queue(), change, Integer::sum);
        waiting += change;
    }

    private ServiceTimes serviceTimes(PendingRequest pending) {
        return timesByQueue.computeIfAbsent(pending.request.queue(), id -> new ServiceTimes());
    }

    private TeamQueue teamQueue(PendingRequest pending) {
        return teams.computeIfAbsent(pending.request.team(), id -> new TeamQueue());
    }
}
