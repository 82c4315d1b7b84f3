package org.quetzalscale.core.time;

import java.util.PriorityQueue;

/** A clock that advances only when a test advances it, and runs scheduled actions. */
public final class VirtualTime implements TimeSource {
    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>();
    private long nowMillis;
    private long sequence;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules an action; actions run in the order of their due times. */
    public void schedule(long delayMillis, Runnable action) {
        actions.add(new ScheduledAction(nowMillis + delayMillis, sequence++, action));
    }

    /** Advances the time and runs the actions that become due. */
    public void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (!actions.isEmpty() && actions.peek().atMillis <= untilMillis) {
            ScheduledAction next = actions.poll();
            nowMillis = next.atMillis;
            next.action.run();
        }
        nowMillis = untilMillis;
    }

    private record ScheduledAction(long atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
