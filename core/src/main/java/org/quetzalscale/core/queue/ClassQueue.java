package org.quetzalscale.core.queue;

import java.util.ArrayDeque;
import java.util.Deque;

/** Waiting requests of one team, or of no team, in one pool; urgent ones are first. */
final class ClassQueue {
    private final Deque<Waiting> urgent = new ArrayDeque<>();
    private final Deque<Waiting> normal = new ArrayDeque<>();
    private int size;

    /** Weight among the classes of the pool. */
    double share = 1;

    /** Slot time used, in milliseconds divided by the share. */
    double virtualMillis;

    int size() {
        return size;
    }

    /** Requests that go before a new one of the same class. */
    int ahead(boolean isUrgent) {
        return isUrgent ? urgent.size() : size;
    }

    void add(Waiting entry) {
        (entry.request.urgent() ? urgent : normal).add(entry);
        size++;
    }

    /** Counts a request out that was withdrawn; its entry is skipped when it comes to the head. */
    void withdraw() {
        size--;
    }

    /** The next request, or null if none waits. */
    Waiting head() {
        Waiting first = head(urgent);
        return first != null ? first : head(normal);
    }

    /** Removes what {@link #head} returned. */
    void removeHead(Waiting head) {
        (head.request.urgent() ? urgent : normal).remove();
        size--;
    }

    private static Waiting head(Deque<Waiting> entries) {
        while (!entries.isEmpty() && !entries.peek().isQueued) {
            entries.remove();
        }
        return entries.peek();
    }
}
