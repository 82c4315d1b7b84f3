package org.quetzalscale.core.maintenance;

import java.util.EnumMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/** Builds configuration snapshots for planner tests. */
public final class Fleets {
    private final Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);

    /** Declares a pool. */
    public Fleets pool(String name, int floor, boolean spare) {
        return put(name, new PoolSpec(floor, spare));
    }

    /** Declares a worker that is active in its pool. */
    public Fleets worker(String name, String pool, String zone, String rack) {
        put(
                name,
                new WorkerSpec(
                        new PoolId(pool),
                        "10.0.0.1:80",
                        new ZoneId(zone),
                        new RackId(rack),
                        8,
                        64,
                        64,
                        1024,
                        0,
                        false));
        return put(name, new AssignmentSpec(new PoolId(pool), WorkerPhase.ACTIVE, ""));
    }

    /** Declares or replaces a resource. */
    public Fleets put(String name, Spec spec) {
        resources
                .computeIfAbsent(spec.kind(), kind -> new TreeMap<>())
                .put(name, new Versioned(new Revision(1), spec));
        return this;
    }

    /** Returns a snapshot of all declared resources. */
    public ConfigSnapshot build() {
        return ConfigSnapshot.of(new Revision(1), resources);
    }
}
