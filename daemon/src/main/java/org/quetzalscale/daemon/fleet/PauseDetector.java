package org.quetzalscale.daemon.fleet;

/**
 * Counts the pauses of an event loop: times in which the process did not run, because it was
 * frozen, suspended or starved of processor time.
 *
 * <p>The monotonic clock may stand still while an instance is suspended, so a difference between
 * the clocks counts as a pause as well. A step of the wall clock is then counted too, which costs
 * one confirmation.
 */
final class PauseDetector {
    /** Longest time between two checks that does not count as a pause. */
    private static final long MAX_GAP_MILLIS = 500;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final LoopClock clock;
    private long checkedMillis;
    private long checkedEpochMillis;
    private long pauses;
    private boolean stopped;

    PauseDetector(LoopClock clock) {
        this.clock = clock;
        this.checkedMillis = clock.nowMillis();
        this.checkedEpochMillis = clock.epochMillis().getAsLong();
    }

    /** Checks periodically, so that a loop without work does not seem to pause. */
    void start() {
        if (stopped) {
            return;
        }
        pauses();
        clock.after(CHECK_INTERVAL_MILLIS, this::start);
    }

    void stop() {
        stopped = true;
    }

    /** The number of pauses until now, including one that just ended. */
    long pauses() {
        long now = clock.nowMillis();
        long epoch = clock.epochMillis().getAsLong();
        long elapsed = now - checkedMillis;
        long clockDifference = Math.abs(epoch - checkedEpochMillis - elapsed);
        checkedMillis = now;
        checkedEpochMillis = epoch;
        if (elapsed > MAX_GAP_MILLIS || clockDifference > MAX_GAP_MILLIS) {
            pauses++;
        }
        return pauses;
    }
}
