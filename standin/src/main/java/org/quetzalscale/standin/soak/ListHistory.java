package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The last states of the list of instances. Thread-safe. */
final class ListHistory {
    private static final long KEPT_NANOS = 4_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record State(long nanos, ObjectNode list) {}

    private final Deque<State> states = new ArrayDeque<>();

    /** Adds the present state. */
    synchronized void add(ObjectNode list, long nowNanos) {
        states.addLast(new State(nowNanos, list));
        while (nowNanos - states.getFirst().nanos() > KEPT_NANOS) {
            states.removeFirst();
        }
    }

    /**
     * Returns the newest state that is at least as old as the age, or the oldest one.
     *
     * @throws java.util.NoSuchElementException if no state was added
     */
    synchronized ObjectNode state(int ageMillis, long nowNanos) {
        Iterator<State> newestFirst = states.descendingIterator();
        while (newestFirst.hasNext()) {
            State state = newestFirst.next();
            if (nowNanos - state.nanos() >= ageMillis * NANOS_PER_MILLI) {
                return state.list();
            }
        }
        return states.getFirst().list();
    }
}
