package org.quetzalscale.standin.experiment;

import java.util.PriorityQueue;

/** Virtual time in microseconds with actions due at given times. */
final class VirtualClock {
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nowMicros;
    private long sequence;

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1_000;
    }

    void after(long delayMicros, Runnable action) {
        due.add(new Due(nowMicros + delayMicros, sequence++, action));
    }

    /** Runs all that falls due until the given time. */
    void runUntil(long endMicros) {
        while (!due.isEmpty() && due.peek().atMicros <= endMicros) {
            Due next = due.poll();
            nowMicros = next.atMicros;
            next.action.run();
        }
        nowMicros = endMicros;
    }

    private record Due(long atMicros, long sequence, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
