package org.quetzalscale.daemon.metrics;

import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quetzalscale.core.id.TeamId;

/**
 * Suppliers of the values that are read when metrics are collected. They must not block.
 *
 * @param inFlight requests assigned to a worker
 * @param revision revision of the configuration
 * @param valid whether the configuration is known to be current
 * @param unitsUsed units of each team that run on this instance
 * @param unitsHeld units of each team's upper limit that are allocated to this instance
 */
public record MetricSources(
        IntSupplier inFlight,
        LongSupplier revision,
        BooleanSupplier valid,
        Supplier<Map<TeamId, Integer>> unitsUsed,
        Supplier<Map<TeamId, Integer>> unitsHeld) {
    /** Checks that no supplier is null. */
    public MetricSources {
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(revision, "revision");
        Objects.requireNonNull(valid, "valid");
        Objects.requireNonNull(unitsUsed, "unitsUsed");
        Objects.requireNonNull(unitsHeld, "unitsHeld");
    }
}
