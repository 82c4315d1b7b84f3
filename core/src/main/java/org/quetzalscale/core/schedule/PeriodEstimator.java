package org.quetzalscale.core.schedule;

/**
 * Measures how well a series repeats itself after each number of bins, as the correlation of the
 * series with itself at that lag.
 */
final class PeriodEstimator {
    /** Lags in bins: 3 to 20 s. */
    static final int MIN_LAG = (int) (3_000 / WorkSeries.BIN_MILLIS);

    static final int MAX_LAG = (int) (20_000 / WorkSeries.BIN_MILLIS);

    /**
     * Correlation from which two stretches of a noisy series count as the same burst. Bursts at
     * random times reach 0.5.
     */
    static final double MIN_CORRELATION = 0.7;

    /**
     * The shortest lag is taken whose correlation is not lower than the best one by more than this,
     * because a series with a period also repeats after each multiple of it.
     */
    private static final double MULTIPLE_TOLERANCE = 0.15;

    private PeriodEstimator() {}

    /**
     * Returns the correlations by lag. They are NaN for lags with too few bins.
     *
     * @param values work by bin, smoothed
     * @param periods length of the series in lags that is needed
     */
    static double[] correlations(double[] values, double periods) {
        double mean = 0;
        for (double value : values) {
            mean += value / values.length;
        }
        double[] correlations = new double[MAX_LAG + 1];
        for (int lag = 0; lag <= MAX_LAG; lag++) {
            boolean known = lag >= MIN_LAG && values.length >= periods * lag;
            correlations[lag] = known ? correlation(values, mean, lag) : Double.NaN;
        }
        return correlations;
    }

    private static double correlation(double[] values, double mean, int lag) {
        double product = 0;
        double earlier = 0;
        double later = 0;
        for (int bin = lag; bin < values.length; bin++) {
            double a = values[bin - lag] - mean;
            double b = values[bin] - mean;
            product += a * b;
            earlier += a * a;
            later += b * b;
        }
        double norm = Math.sqrt(earlier * later);
        return norm > 0 ? product / norm : 0;
    }

    /** Returns the lag at which the series repeats itself; 0 if there is none. */
    static int period(double[] correlations) {
        double best = MIN_CORRELATION;
        for (double correlation : correlations) {
            best = correlation > best ? correlation : best;
        }
        for (int lag = MIN_LAG; lag <= MAX_LAG; lag++) {
            if (correlations[lag] >= Math.max(MIN_CORRELATION, best - MULTIPLE_TOLERANCE)
                    && isPeak(correlations, lag)) {
                return lag;
            }
        }
        return 0;
    }

    private static boolean isPeak(double[] correlations, int lag) {
        for (int near = lag - 2; near <= lag + 2; near++) {
            if (near >= MIN_LAG && near <= MAX_LAG && correlations[near] > correlations[lag]) {
                return false;
            }
        }
        return true;
    }
}
