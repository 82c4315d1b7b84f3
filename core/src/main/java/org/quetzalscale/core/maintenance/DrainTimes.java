package org.quetzalscale.core.maintenance;

/** Durations that a drain waits for. */
public final class DrainTimes {
    /** Time after which no instance sends new work to a draining worker, in milliseconds. */
    public static final long IN_FORCE_MILLIS = 5_000;

    /** Maximum duration of a request, in milliseconds. */
    public static final long REQUEST_MILLIS = 60_000;

    /**
     * Time after which the last request sent before the drain took effect has ended, in
     * milliseconds.
     */
    public static final long LAST_REQUEST_MILLIS = IN_FORCE_MILLIS + REQUEST_MILLIS;

    private DrainTimes() {}
}
