package org.quetzalscale.core.job;

import java.util.List;
import java.util.Map;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.share.Resources;

/**
 * Decisions of one scheduling round.
 *
 * @param entitled resources that each team is currently entitled to
 * @param used resources that each team uses once the plan is carried out
 */
public record JobPlan(
        List<Start> starts,
        List<Stop> stops,
        List<Throttle> throttles,
        Map<TeamId, Resources> entitled,
        Map<TeamId, Resources> used) {
    /** Copies the collections. */
    public JobPlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        throttles = List.copyOf(throttles);
        entitled = Map.copyOf(entitled);
        used = Map.copyOf(used);
    }

    /** A job to start on a worker. */
    public record Start(WaitingJob job, WorkerId worker) {}

    /**
     * A job to stop.
     *
     * @param checkpointFirst whether the job writes a checkpoint before it stops
     * @param reason reason shown to operators and the submitter
     */
    public record Stop(RunningJob job, boolean checkpointFirst, String reason) {}

    /**
     * A job whose processor usage is limited.
     *
     * @param percent share of its declared cores, 1 to 100; 100 lifts the limit
     */
    public record Throttle(RunningJob job, int percent) {}
}
