package org.quetzalscale.standin.platform;

/**
 * Settings of the platform stand-in.
 *
 * @param host IP number to listen on
 * @param port port to listen on, or 0 for any
 * @param listLagMillis time by which the list of machines lags behind the truth
 * @param goneAfterMillis time from the end of a machine's process until the machine is GONE; a
 *     process that restarts earlier keeps its name
 * @param usagePeriodMillis time between two usage reports of a worker
 */
public record PlatformOptions(
        String host, int port, long listLagMillis, long goneAfterMillis, long usagePeriodMillis) {
    private static final long DEFAULT_LIST_LAG_MILLIS = 1000;
    private static final long DEFAULT_GONE_AFTER_MILLIS = 5000;
    private static final long DEFAULT_USAGE_PERIOD_MILLIS = 500;

    /** Requires values that are not negative. */
    public PlatformOptions {
        if (listLagMillis < 0 || goneAfterMillis < 0 || usagePeriodMillis < 0) {
            throw new IllegalArgumentException("times of the platform can not be negative");
        }
    }

    /** Listens on the loopback address and any port, with the default times. */
    public static PlatformOptions defaults() {
        return new PlatformOptions(
                "127.0.0.1",
                0,
                DEFAULT_LIST_LAG_MILLIS,
                DEFAULT_GONE_AFTER_MILLIS,
                DEFAULT_USAGE_PERIOD_MILLIS);
    }
}
