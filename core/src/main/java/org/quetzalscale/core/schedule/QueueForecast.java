package org.quetzalscale.core.schedule;

/**
 * Forecasts the arrivals of work of one queue, for demand that comes in periodic bursts.
 *
 * <p>Each bin of time is judged once, in order, so that the state depends on the arrivals alone and
 * a new owner that reads them reaches the same one.
 */
final class QueueForecast {
    /** Length of the series in periods from which a period can be used that other queues have. */
    private static final double SHARED_PERIODS = 1.75;

    /** Length of the series in periods from which a period of this queue alone can be used. */
    private static final double OWN_PERIODS = 2.75;

    /**
     * Bins on each side over which arrivals are averaged: a job keeps its pool busy for at least a
     * second, and the highest of shorter intervals is far above what the pool needs.
     */
    private static final int SMOOTHING_BINS = 3;

    private static final int MAX_CYCLES = 3;

    /** Bins whose sum is compared with the forecast: 1 s, in which an average queue gets jobs. */
    private static final int JUDGED_BINS = 4;

    private static final int TOLERATED_BINS = 2;

    /** Share of the forecast work below which a burst has not come. */
    private static final double MISSING_SHARE = 0.35;

    /** Multiple of the forecast work above which a burst was not expected. */
    private static final double UNEXPECTED_FACTOR = 2;

    /** Multiple of the mean above which arrivals are a burst. */
    private static final double BURST_FACTOR = 2;

    private final WorkSeries series;

    /** The first bin from which the queue learns: the start of the series, or the last miss. */
    private long startBin;

    private long judgedBin;
    private int periodBins;
    private double confidence;
    private int misses;

    QueueForecast(WorkSeries series, long startBin) {
        this.series = series;
        this.startBin = startBin;
    }

    /** The correlations of the series that ends with the bin, for a period of several queues. */
    double[] correlations(long lastBin) {
        return PeriodEstimator.correlations(smoothed(lastBin), SHARED_PERIODS);
    }

    /**
     * Judges the forecast of a bin that has ended, and updates the period.
     *
     * @param own correlations of this queue up to the bin
     * @param sharedPeriod period of all queues together; 0 if there is none
     */
    void judge(long bin, double[] own, int sharedPeriod) {
        judgedBin = bin;
        if (periodBins > 0 && isMiss(bin)) {
            misses++;
            startBin = bin - JUDGED_BINS - 2 * TOLERATED_BINS;
            periodBins = 0;
            confidence = 0;
            return;
        }
        int period = nearestPeak(own, sharedPeriod);
        if (period == 0) {
            int alone = PeriodEstimator.period(own);
            period = bin - startBin + 1 >= OWN_PERIODS * alone ? alone : 0;
        }
        periodBins = period;
        confidence = period == 0 ? 0 : own[period];
    }

    private static int nearestPeak(double[] own, int sharedPeriod) {
        int best = 0;
        for (int lag = sharedPeriod - 1; sharedPeriod > 0 && lag <= sharedPeriod + 1; lag++) {
            boolean valid = lag <= PeriodEstimator.MAX_LAG && lag >= PeriodEstimator.MIN_LAG;
            if (valid
                    && own[lag] >= PeriodEstimator.MIN_CORRELATION
                    && (best == 0 || own[lag] > own[best])) {
                best = lag;
            }
        }
        return best;
    }

    /**
     * Compares one second of arrivals with the forecast of a longer time around it, and the other
     * way round, so that an onset may be off by {@link #TOLERATED_BINS}.
     */
    private boolean isMiss(long bin) {
        long to = bin - TOLERATED_BINS;
        long from = to - JUDGED_BINS + 1;
        double arrived = 0;
        double forecast = 0;
        double arrivedAround = 0;
        double forecastAround = 0;
        for (long judged = from - TOLERATED_BINS; judged <= bin; judged++) {
            boolean inner = judged >= from && judged <= to;
            double expected = expected(judged);
            arrived += inner ? series.at(judged) : 0;
            forecast += inner ? expected : 0;
            arrivedAround += series.at(judged);
            forecastAround += expected;
        }
        double burst = BURST_FACTOR * JUDGED_BINS * mean(bin);
        boolean missing = forecast > burst && arrivedAround < MISSING_SHARE * forecast;
        boolean unexpected = arrived > burst && arrived > UNEXPECTED_FACTOR * forecastAround;
        return missing || unexpected;
    }

    private double mean(long lastBin) {
        long first = firstBin(lastBin);
        double sum = 0;
        for (long bin = first; bin <= lastBin; bin++) {
            sum += series.at(bin);
        }
        return sum / (lastBin - first + 1);
    }

    /** Whether a period is known and no forecast has missed since. */
    boolean trusted() {
        return periodBins > 0;
    }

    double confidence() {
        return confidence;
    }

    long periodMillis() {
        return periodBins * WorkSeries.BIN_MILLIS;
    }

    int misses() {
        return misses;
    }

    /**
     * The highest expected arrivals in an interval, in estimated core seconds per second; 0 if the
     * forecast is not trusted.
     */
    double peakRate(long fromBin, long toBin) {
        double peak = 0;
        for (long bin = fromBin; trusted() && bin <= toBin; bin++) {
            peak = Math.max(peak, highest(bin));
        }
        return peak * 1_000 / WorkSeries.BIN_MILLIS;
    }

    /** The forecast with an onset one bin earlier and an end one bin later. */
    private double highest(long bin) {
        return Math.max(expected(bin), Math.max(expected(bin - 1), expected(bin + 1)));
    }

    /** Mean of the same phase in the last cycles, smoothed. */
    private double expected(long bin) {
        long lastBin = bin + SMOOTHING_BINS - judgedBin;
        long cyclesBack = Math.max(1, -Math.floorDiv(-lastBin, periodBins));
        double sum = 0;
        int cycles = 0;
        for (int cycle = 0; cycle < MAX_CYCLES; cycle++) {
            long past = bin - (cyclesBack + cycle) * periodBins;
            if (past < startBin) {
                break;
            }
            sum += smoothedAt(past);
            cycles++;
        }
        return cycles == 0 ? 0 : sum / cycles;
    }

    private double smoothedAt(long bin) {
        double sum = 0;
        for (long near = bin - SMOOTHING_BINS; near <= bin + SMOOTHING_BINS; near++) {
            sum += series.at(near);
        }
        return sum / (2 * SMOOTHING_BINS + 1);
    }

    private double[] smoothed(long lastBin) {
        long first = firstBin(lastBin);
        double[] values = new double[(int) Math.max(0, lastBin - first + 1)];
        for (int index = 0; index < values.length; index++) {
            values[index] = smoothedAt(first + index);
        }
        return values;
    }

    private long firstBin(long lastBin) {
        return Math.max(startBin, lastBin - WorkSeries.BINS + 2);
    }
}
