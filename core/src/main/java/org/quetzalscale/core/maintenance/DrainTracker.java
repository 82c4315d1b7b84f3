package org.quetzalscale.core.maintenance;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Measures how long workers have been draining, on this instance's own clock. A new runner measures
 * from its first look, so its times are at most too short and its waits at most too long.
 */
public final class DrainTracker {
    private final WorkerActivity activity;
    private final TimeSource time;
    private final Map<WorkerId, Seen> seen = new HashMap<>();

    /** A tracker that has seen no drain. */
    public DrainTracker(WorkerActivity activity, TimeSource time) {
        this.activity = activity;
        this.time = time;
    }

    /** Whether the work sent before the drain has ended, as far as this instance can tell. */
    public boolean isIdle(WorkerId worker, Versioned assignment) {
        long nowMillis = time.nowMillis();
        long revision = assignment.revision().value();
        Seen first = seen.get(worker);
        if (first == null || first.revision != revision) {
            first = new Seen(revision, nowMillis);
            seen.put(worker, first);
        }
        return activity.of(worker).isIdle(nowMillis - first.sinceMillis);
    }

    private record Seen(long revision, long sinceMillis) {}
}
