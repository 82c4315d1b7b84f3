package org.quetzalscale.core.config;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerSpec;

/** All resources as of one revision. Immutable. */
public final class ConfigSnapshot {
    /** The empty snapshot before the first change. */
    public static final ConfigSnapshot EMPTY =
            new ConfigSnapshot(Revision.NONE, new EnumMap<>(Kind.class));

    private final Revision revision;
    private final Map<Kind, SortedMap<String, Versioned>> resources;

    private ConfigSnapshot(Revision revision, Map<Kind, SortedMap<String, Versioned>> resources) {
        this.revision = revision;
        this.resources = resources;
    }

    /** A snapshot of the given resources, as read from the table or a stored snapshot. */
    public static ConfigSnapshot of(
            Revision revision, Map<Kind, SortedMap<String, Versioned>> resources) {
        Map<Kind, SortedMap<String, Versioned>> copy = new EnumMap<>(Kind.class);
        resources.forEach((kind, named) -> copy.put(kind, new TreeMap<>(named)));
        return new ConfigSnapshot(revision, copy);
    }

    /** The revision of the latest change in it. */
    public Revision revision() {
        return revision;
    }

    /**
     * Returns this snapshot with the next change applied.
     *
     * @throws IllegalArgumentException if the change's revision is not the next one
     */
    public ConfigSnapshot apply(Change change) {
        if (!change.revision().equals(revision.next())) {
            throw new IllegalArgumentException(
                    "change " + change.revision() + " does not follow revision " + revision);
        }
        Map<Kind, SortedMap<String, Versioned>> copy = new EnumMap<>(Kind.class);
        copy.putAll(resources);
        SortedMap<String, Versioned> named = new TreeMap<>(all(change.kind()));
        if (change.spec().isPresent()) {
            named.put(change.name(), new Versioned(change.revision(), change.spec().get()));
        } else {
            named.remove(change.name());
        }
        copy.put(change.kind(), named);
        return new ConfigSnapshot(change.revision(), copy);
    }

    /** All resources of a kind by name, in name order. */
    public SortedMap<String, Versioned> all(Kind kind) {
        return Collections.unmodifiableSortedMap(
                resources.getOrDefault(kind, Collections.emptySortedMap()));
    }

    /** One resource. */
    public Optional<Versioned> find(Kind kind, String name) {
        return Optional.ofNullable(all(kind).get(name));
    }

    /** A team's declaration. */
    public Optional<TeamSpec> team(TeamId name) {
        return spec(Kind.TEAMS, name.value(), TeamSpec.class);
    }

    /** A key's declaration. */
    public Optional<KeySpec> key(KeyId name) {
        return spec(Kind.KEYS, name.value(), KeySpec.class);
    }

    /** A pool's declaration. */
    public Optional<PoolSpec> pool(PoolId name) {
        return spec(Kind.POOLS, name.value(), PoolSpec.class);
    }

    /** A worker's declaration. */
    public Optional<WorkerSpec> worker(WorkerId name) {
        return spec(Kind.WORKERS, name.value(), WorkerSpec.class);
    }

    /** A queue's declaration. */
    public Optional<QueueSpec> queue(QueueId name) {
        return spec(Kind.QUEUES, name.value(), QueueSpec.class);
    }

    /** The pool that a worker is in, and its phase. */
    public Optional<AssignmentSpec> assignment(WorkerId name) {
        return spec(Kind.ASSIGNMENTS, name.value(), AssignmentSpec.class);
    }

    private <T extends Spec> Optional<T> spec(Kind kind, String name, Class<T> type) {
        return find(kind, name).map(versioned -> type.cast(versioned.spec()));
    }
}
