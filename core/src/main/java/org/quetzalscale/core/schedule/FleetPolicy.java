package org.quetzalscale.core.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * One version of the operators' configuration.
 *
 * @param version rises with each change, in uneven steps
 * @param keys the organisation of each key
 */
public record FleetPolicy(
        long version,
        List<QueueRoute> routes,
        Map<QueueId, QueuePolicy> queues,
        Map<PoolId, PoolPolicy> pools,
        Map<OrganisationId, OrganisationPolicy> organisations,
        Map<String, OrganisationId> keys) {
    /** Copies the parts; routes are ordered with the longest prefix first. */
    public FleetPolicy {
        routes =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (QueueRoute route) -> -route.prefix().length()))
                        .toList();
        queues = Map.copyOf(queues);
        pools = Map.copyOf(pools);
        organisations = Map.copyOf(organisations);
        keys = Map.copyOf(keys);
    }

    /** The route with the longest prefix of the path. */
    public Optional<QueueRoute> route(String host, String path) {
        for (QueueRoute route : routes) {
            if (route.host().equals(host) && path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
