package org.quetzalscale.standin.experiment;

import java.util.EnumMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/** A configuration of one pool with workers w0, w1 and so on. */
final class ModelConfig implements ConfigSource {
    static final PoolId POOL = new PoolId("model");

    private final ConfigSnapshot snapshot;

    ModelConfig(int workers, int slots) {
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        resources.put(Kind.WORKERS, new TreeMap<>());
        resources.put(Kind.ASSIGNMENTS, new TreeMap<>());
        Revision revision = new Revision(1);
        for (int i = 0; i < workers; i++) {
            WorkerSpec worker =
                    new WorkerSpec(
                            POOL,
                            "10.0.0." + (i + 1) + ":8080",
                            new ZoneId("zone-" + i % 4),
                            new RackId("rack-" + i / 4),
                            slots,
                            64,
                            64,
                            131_072,
                            0,
                            false);
            AssignmentSpec assignment = new AssignmentSpec(POOL, WorkerPhase.ACTIVE, "");
            resources.get(Kind.WORKERS).put("w" + i, new Versioned(revision, worker));
            resources.get(Kind.ASSIGNMENTS).put("w" + i, new Versioned(revision, assignment));
        }
        snapshot = ConfigSnapshot.of(revision, resources);
    }

    @Override
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public boolean isValid() {
        return true;
    }
}
