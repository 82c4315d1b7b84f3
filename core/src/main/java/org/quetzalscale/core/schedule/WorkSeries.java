package org.quetzalscale.core.schedule;

/** The work that arrived in a queue during the last minute, in bins of time. */
final class WorkSeries {
    static final long BIN_MILLIS = 250;

    /** Covers three of the longest periods that {@link PeriodEstimator} looks for. */
    static final int BINS = 240;

    /** Submitters' estimates of core seconds by bin; a ring. */
    private final double[] coreSeconds = new double[BINS];

    /** The cores of all tasks that arrived in the bin; a ring. */
    private final double[] taskCores = new double[BINS];

    private long newestBin = Long.MIN_VALUE / 2;
    private long oldestBin = Long.MAX_VALUE;
    private long readBin = Long.MIN_VALUE;
    private int revision;

    static long binOf(long millis) {
        return Math.floorDiv(millis, BIN_MILLIS);
    }

    /** Adds work. Work older than the series is ignored. */
    void add(long bin, double estimatedCoreSeconds, double cores) {
        advance(bin);
        if (bin <= newestBin - BINS) {
            return;
        }
        oldestBin = Math.min(oldestBin, bin);
        coreSeconds[index(bin)] += estimatedCoreSeconds;
        taskCores[index(bin)] += cores;
        if (bin <= readBin) {
            revision++;
        }
    }

    /** Drops the bins that are too old when the given one is the newest. */
    void advance(long bin) {
        if (bin <= newestBin) {
            return;
        }
        long from = Math.max(newestBin + 1, bin - BINS + 1);
        for (long cleared = from; cleared <= bin; cleared++) {
            coreSeconds[index(cleared)] = 0;
            taskCores[index(cleared)] = 0;
        }
        newestBin = bin;
    }

    /** Notes that the bins up to this one were read. */
    void markRead(long bin) {
        readBin = Math.max(readBin, bin);
    }

    /** Increases whenever a bin changes that was read before: jobs of an earlier owner. */
    int revision() {
        return revision;
    }

    /** The oldest bin with work that is still stored; {@code Long.MAX_VALUE} without any. */
    long oldestBin() {
        return oldestBin == Long.MAX_VALUE ? oldestBin : Math.max(oldestBin, newestBin - BINS + 1);
    }

    /** The estimated core seconds that arrived in the bin. */
    double at(long bin) {
        return bin > newestBin || bin <= newestBin - BINS ? 0 : coreSeconds[index(bin)];
    }

    /** The sum of the submitters' estimates over all bins, in core seconds. */
    double totalCoreSeconds() {
        return sum(coreSeconds);
    }

    /** The sum of the cores of all tasks over all bins. */
    double totalTaskCores() {
        return sum(taskCores);
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    private static int index(long bin) {
        return (int) Math.floorMod(bin, (long) BINS);
    }
}
