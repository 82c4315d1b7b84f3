package org.quetzalscale.core.schedule;

/** How far the current run of a task has come, as its worker reports it. */
final class RunProgress {
    /** Over fewer percent, the pace depends on when the worker was asked. */
    private static final int MIN_MOVED_PERCENT = 4;

    private boolean reported;
    private int firstPercent;
    private long firstMillis;
    private int percent;
    private long percentMillis;
    private long movedMillis;

    /** Forgets an earlier run. */
    void reset() {
        reported = false;
        percent = 0;
        percentMillis = 0;
        movedMillis = 0;
    }

    /** Records the percent of a report. Returns whether it has changed. */
    boolean observe(int reportedPercent, long nowMillis) {
        if (!reported) {
            reported = true;
            firstPercent = reportedPercent;
            firstMillis = nowMillis;
        }
        if (reportedPercent == percent) {
            return false;
        }
        percent = reportedPercent;
        percentMillis = nowMillis;
        movedMillis = nowMillis;
        return true;
    }

    /** Records a new checkpoint: the run works, even if its percent has not changed. */
    void observeCheckpoint(long nowMillis) {
        movedMillis = nowMillis;
    }

    int percent() {
        return percent;
    }

    /** When the percent last changed; 0 if it has not. */
    long percentMillis() {
        return percentMillis;
    }

    /** When the run last showed that it works; 0 if it has not. */
    long movedMillis() {
        return movedMillis;
    }

    /** The mean time in milliseconds that the run took for one percent; 0 if it has not moved. */
    double millisPerPercent() {
        int moved = movedPercent();
        return moved <= 0 ? 0 : (double) (percentMillis - firstMillis) / moved;
    }

    /** Whether the run has moved far enough to tell its pace. */
    boolean isPaceKnown() {
        return movedPercent() >= MIN_MOVED_PERCENT;
    }

    private int movedPercent() {
        return reported ? percent - firstPercent : 0;
    }
}
