package org.quetzalscale.standin.load;

/**
 * The users' load: queues burst in turn at five times their mean, and send a twentieth of it
 * between bursts. The cycle is as long as keeps each queue's mean.
 *
 * @param queues number of queues
 * @param meanRate mean arrivals per second on each queue
 * @param burstMillis length of a burst, in ms; 0 for a constant rate
 */
record BurstPattern(int queues, double meanRate, long burstMillis) {
    private static final double BURST_FACTOR = 5.0;
    private static final double QUIET_FACTOR = 0.05;
    private static final double BURST_SHARE = (1 - QUIET_FACTOR) / (BURST_FACTOR - QUIET_FACTOR);

    /** Time from one burst of a queue to its next, in microseconds. */
    long cycleMicros() {
        return Math.round(burstMillis * 1000 / BURST_SHARE);
    }

    boolean bursts(int queue, long atMicros) {
        return burstMillis > 0 && positionMicros(queue, atMicros) < burstMillis * 1000;
    }

    /** Arrivals per second on a queue at a time. */
    double rate(int queue, long atMicros) {
        if (burstMillis == 0) {
            return meanRate;
        }
        return meanRate * (bursts(queue, atMicros) ? BURST_FACTOR : QUIET_FACTOR);
    }

    /** When the rate of a queue changes next, in microseconds; always later than the given time. */
    long nextChangeMicros(int queue, long atMicros) {
        if (burstMillis == 0) {
            return Long.MAX_VALUE;
        }
        long position = positionMicros(queue, atMicros);
        long end = bursts(queue, atMicros) ? burstMillis * 1000 : cycleMicros();
        return atMicros + end - position;
    }

    private long positionMicros(int queue, long atMicros) {
        return Math.floorMod(atMicros - cycleMicros() * queue / queues, cycleMicros());
    }
}
