package org.quetzalscale.core.time;

import java.util.PriorityQueue;

/** Time that moves only when a test says so, with actions due at given times. */
public final class VirtualTime implements TimeSource {
    private final PriorityQueue<Due> actions = new PriorityQueue<>();
    private long nowMillis;
    private long sequence;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    /** Runs the action when time has advanced by the delay, in order of due time. */
    public void schedule(long delayMillis, Runnable action) {
        actions.add(new Due(nowMillis + delayMillis, sequence++, action));
    }

    /** Lets time pass and runs what falls due meanwhile. */
    public void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (!actions.isEmpty() && actions.peek().atMillis <= untilMillis) {
            Due due = actions.poll();
            nowMillis = due.atMillis;
            due.action.run();
        }
        nowMillis = untilMillis;
    }

    private record Due(long atMillis, long sequence, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
