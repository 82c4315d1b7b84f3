package org.quetzalscale.core.maintenance;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * What runs on a worker.
 *
 * @param requests requests in flight from all entry instances, or empty if the report of an
 *     instance is missing
 * @param tasks tasks of jobs, or empty if they are not known
 */
public record Activity(OptionalInt requests, OptionalInt tasks) {
    /** Requires both parts. */
    public Activity {
        Objects.requireNonNull(requests, "requests");
        Objects.requireNonNull(tasks, "tasks");
    }

    /** An activity of which all is known. */
    public static Activity of(int requests, int tasks) {
        return new Activity(OptionalInt.of(requests), OptionalInt.of(tasks));
    }

    /**
     * Whether nothing runs on a worker that has been draining for some time.
     *
     * @param drainingMillis time since the drain
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
