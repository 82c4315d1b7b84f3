package org.quetzalscale.core.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;

/**
 * A version of the fleet configuration that operators maintain.
 *
 * @param version increases with each change, not always by one
 * @param keys the organisation that each API key belongs to
 */
public record FleetPolicy(
        long version,
        List<QueueRoute> routes,
        Map<QueueId, QueuePolicy> queues,
        Map<PoolId, PoolPolicy> pools,
        Map<OrganisationId, OrganisationPolicy> organisations,
        Map<String, OrganisationId> keys) {
    /** Copies the collections and sorts the routes by descending prefix length. */
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

    /** Returns the route of the host with the longest prefix that matches the path. */
    public Optional<QueueRoute> route(String host, String path) {
        for (QueueRoute route : routes) {
            if (route.host().equals(host) && path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
