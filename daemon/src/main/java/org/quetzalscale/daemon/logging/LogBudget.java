package org.quetzalscale.daemon.logging;

/**
 * Token bucket that limits the rate of log lines, so that logging many rejected requests doesn't
 * use the processor time that callers need. Not safe for use by several threads.
 */
final class LogBudget {
    /** Higher than the rate of a busy instance. */
    private static final int LINES_PER_SECOND = 400;

    /** Size of a burst, such as a start with many jobs. */
    private static final int MAX_LINES = 4_000;

    private static final double NANOS_PER_SECOND = 1e9;

    private double lines = MAX_LINES;
    private long updatedNanos;
    private boolean started;

    /** Takes one line from the budget; returns false if none is left. */
    boolean take(long nowNanos) {
        if (started) {
            double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
            lines = Math.min(MAX_LINES, lines + seconds * LINES_PER_SECOND);
        }
        started = true;
        updatedNanos = nowNanos;
        if (lines < 1) {
            return false;
        }
        lines--;
        return true;
    }
}
