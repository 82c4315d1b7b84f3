package org.quetzalscale.core;

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
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/** A configuration that tests build up and change. */
public final class Fixtures implements ConfigSource {
    public static final PoolId POOL = new PoolId("nitrate");

    private final Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
    private ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
    private long revision;
    private boolean valid = true;

    /** An active worker of the pool. */
    public Fixtures worker(String name, int slots) {
        return worker(name, slots, false, WorkerPhase.ACTIVE);
    }

    /** A worker of the pool in the given phase. */
    public Fixtures worker(String name, int slots, boolean drain, WorkerPhase phase) {
        ZoneId zone = new ZoneId("zone-a");
        RackId rack = new RackId("rack-1");
        put(
                Kind.WORKERS,
                name,
                new WorkerSpec(POOL, "10.0.0.1:8080", zone, rack, slots, 64, 64, 131072, 0, drain));
        return put(Kind.ASSIGNMENTS, name, new AssignmentSpec(POOL, phase, ""));
    }

    /** A queue of the pool with a time limit of 5 s. */
    public Fixtures queue(String name, boolean open, int maxQueued) {
        return put(
                Kind.QUEUES,
                name,
                new QueueSpec(POOL, open, 5_000, maxQueued, QueueSpec.DEFAULT_IDEMPOTENT_METHODS));
    }

    /** A team. */
    public Fixtures team(String name, double share, int limit) {
        return put(Kind.TEAMS, name, new TeamSpec(share, limit));
    }

    /** Lets the validity of the configuration expire. */
    public Fixtures invalid() {
        valid = false;
        return this;
    }

    /** Removes a resource. */
    public Fixtures remove(Kind kind, String name) {
        resources.get(kind).remove(name);
        return rebuild();
    }

    private Fixtures put(Kind kind, String name, Spec spec) {
        resources
                .computeIfAbsent(kind, any -> new TreeMap<>())
                .put(name, new Versioned(new Revision(revision + 1), spec));
        return rebuild();
    }

    private Fixtures rebuild() {
        revision++;
        snapshot = ConfigSnapshot.of(new Revision(revision), resources);
        return this;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public boolean isValid() {
        return valid;
    }

    /** Names a worker. */
    public static WorkerId workerId(String name) {
        return new WorkerId(name);
    }
}
