package org.quetzalscale.core.maintenance;

import java.util.HashMap;
import java.util.Map;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.time.TimeSource;

/**
 * Measures how long workers have been draining, on this instance's own clock. A new lease holder
 * measures from its first observation, so it may wait longer than necessary but never shorter.
 */
public final class DrainTracker {
    private final WorkerActivity activity;
    private final TimeSource time;
    private final Map<WorkerId, Observation> observations = new HashMap<>();

    /** Creates a tracker without observations. */
    public DrainTracker(WorkerActivity activity, TimeSource time) {
        this.activity = activity;
        this.time = time;
    }

    /** Returns whether, as far as this instance knows, the work sent before the drain has ended. */
    public boolean isIdle(WorkerId worker, Versioned assignment) {
        long nowMillis = time.nowMillis();
        long revision = assignment.revision().value();
        Observation first = observations.get(worker);
        if (first == null || first.revision != revision) {
            first = new Observation(revision, nowMillis);
            observations.put(worker, first);
        }
        return activity.of(worker).isIdle(nowMillis - first.sinceMillis);
    }

    private record Observation(long revision, long sinceMillis) {}
}
