package org.quetzalscale.core.queue;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The waiting requests of one team in one pool; urgent requests come first. The requests without a
 * team share one queue.
 */
final class TeamQueue {
    private final Deque<PendingRequest> urgent = new ArrayDeque<>();
    private final Deque<PendingRequest> normal = new ArrayDeque<>();
    private int size;

    /** Weight of this team among the teams of the pool. */
    double share = 1;

    /**
     * Virtual time of weighted fair queueing: slot time used divided by the share, in milliseconds.
     */
    double virtualTimeMillis;

    int size() {
        return size;
    }

    /** Number of requests that are served before a new request of this team. */
    int requestsAhead(boolean isUrgent) {
        return isUrgent ? urgent.size() : size;
    }

    void add(PendingRequest pending) {
        (pending.request.urgent() ? urgent : normal).add(pending);
        size++;
    }

    /** Counts a withdrawn request, which stays in its deque until it reaches the head. */
    void countWithdrawal() {
        size--;
    }

    /** The next request, or null if the queue is empty. */
    PendingRequest head() {
        PendingRequest first = head(urgent);
        return first != null ? first : head(normal);
    }

    /** Removes the request that {@link #head} returned. */
    void removeHead(PendingRequest head) {
        (head.request.urgent() ? urgent : normal).remove();
        size--;
    }

    private static PendingRequest head(Deque<PendingRequest> requests) {
        while (!requests.isEmpty() && !requests.peek().isQueued) {
            requests.remove();
        }
        return requests.peek();
    }
}
