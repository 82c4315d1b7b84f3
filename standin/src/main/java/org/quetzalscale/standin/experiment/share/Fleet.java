package org.quetzalscale.standin.experiment.share;

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
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerSpec;

/** The workers and teams of one firm: five services of eight workers, four to a rack. */
final class Fleet implements ConfigSource {
    static final int WORKERS = 40;
    static final int SLOTS = 8;
    static final int CORES = 64;
    static final int MEMORY_MIB = 131_072;
    private static final int WORKERS_PER_RACK = 4;
    private static final int ZONES = 4;
    private static final int CONNECTIONS = 64;

    private final ConfigSnapshot snapshot;

    Fleet() {
        SortedMap<String, Versioned> teams = new TreeMap<>();
        for (int i = 0; i < Workload.WEIGHTS.length; i++) {
            teams.put(
                    Workload.team(i).value(),
                    new Versioned(
                            Revision.NONE,
                            new TeamSpec(Workload.WEIGHTS[i], Workload.UPPER_LIMIT)));
        }
        SortedMap<String, Versioned> workers = new TreeMap<>();
        for (int i = 0; i < WORKERS; i++) {
            int rack = i / WORKERS_PER_RACK;
            WorkerSpec spec =
                    new WorkerSpec(
                            new PoolId("service-" + i % 5),
                            "10.0.0." + (i + 1) + ":8080",
                            new ZoneId("zone-" + rack % ZONES),
                            new RackId("rack-" + rack),
                            SLOTS,
                            CONNECTIONS,
                            CORES,
                            MEMORY_MIB,
                            0,
                            false);
            workers.put(worker(i).value(), new Versioned(Revision.NONE, spec));
        }
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        resources.put(Kind.TEAMS, teams);
        resources.put(Kind.WORKERS, workers);
        snapshot = ConfigSnapshot.of(Revision.NONE, resources);
    }

    static WorkerId worker(int index) {
        return new WorkerId(String.format("worker-%02d", index));
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
