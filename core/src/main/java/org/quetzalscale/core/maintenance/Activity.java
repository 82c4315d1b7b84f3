package org.quetzalscale.core.maintenance;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The work that runs on a worker.
 *
 * @param requests requests in flight from all entry instances, or empty if the report of an
 *     instance is missing
 * @param tasks running job tasks, or empty if unknown
 */
public record Activity(OptionalInt requests, OptionalInt tasks) {
    /** Requires both components. */
    public Activity {
        Objects.requireNonNull(requests, "requests");
        Objects.requireNonNull(tasks, "tasks");
    }

    /** Creates an activity whose counts are both known. */
    public static Activity of(int requests, int tasks) {
        return new Activity(OptionalInt.of(requests), OptionalInt.of(tasks));
    }

    /**
     * Returns whether a draining worker is idle. If a report on requests is missing, the worker
     * counts as idle only after the longest possible request has ended.
     *
     * @param drainingMillis time since the drain, in milliseconds
     */
    public boolean isIdle(long drainingMillis) {
        if (drainingMillis < DrainTimes.IN_FORCE_MILLIS || tasks.orElse(1) > 0) {
            return false;
        }
        return requests.isPresent()
                ? requests.getAsInt() == 0
                : drainingMillis >= DrainTimes.LAST_REQUEST_MILLIS;
    }
}
