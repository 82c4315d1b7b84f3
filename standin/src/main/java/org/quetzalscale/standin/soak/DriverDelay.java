package org.quetzalscale.standin.soak;

/**
 * Notes when the soak's own process was delayed, as on a busy machine. Its store and its workers
 * answer nothing meanwhile, so all nodes count as disturbed.
 */
final class DriverDelay {
    private static final int CHECK_MILLIS = 50;
    private static final int NOTED_MILLIS = 300;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Scheduler scheduler;
    private final Timeline timeline;
    private final Contact contact;
    private long lastNanos = System.nanoTime();
    private volatile long longestMillis;

    DriverDelay(Scheduler scheduler, Timeline timeline, Contact contact) {
        this.scheduler = scheduler;
        this.timeline = timeline;
        this.contact = contact;
    }

    void start() {
        lastNanos = System.nanoTime();
        scheduler.every(CHECK_MILLIS, this::check);
    }

    /** The longest delay so far. */
    long longestMillis() {
        return longestMillis;
    }

    private void check() {
        long now = System.nanoTime();
        long delay = (now - lastNanos) / NANOS_PER_MILLI - CHECK_MILLIS;
        lastNanos = now;
        longestMillis = Math.max(longestMillis, delay);
        if (delay > NOTED_MILLIS) {
            double seconds = timeline.seconds();
            timeline.add("driver: delayed by %d ms", delay);
            contact.disturbed(Contact.STORE, seconds - delay / MILLIS_PER_SECOND, seconds);
        }
    }
}
