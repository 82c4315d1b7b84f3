package org.quetzalscale.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/**
 * Turns edits into changes of a snapshot, or rejects them.
 *
 * <p>The checks hold at commit because the transaction requires the revision row to be as it was
 * when the snapshot was the latest.
 */
public final class EditRules {
    private EditRules() {}

    /**
     * Returns the changes that the edits make, in the order of their revisions.
     *
     * @throws QuetzalscaleException RESOURCE_EXISTS, RESOURCE_UNKNOWN or VERSION_CONFLICT if a
     *     resource is not as its edit expects, INVALID_FIELD if it names a resource that does not
     *     exist, INVALID_STATE if a deleted resource is in use
     */
    public static List<Change> plan(ConfigSnapshot snapshot, List<ResourceEdit> edits) {
        List<Change> changes = new ArrayList<>();
        ConfigSnapshot current = snapshot;
        for (ResourceEdit edit : edits) {
            checkVersion(current, edit);
            for (ResourceEdit part : withDependents(current, edit)) {
                checkReferences(current, part);
                Change change =
                        new Change(
                                current.revision().next(), part.kind(), part.name(), part.spec());
                changes.add(change);
                current = current.apply(change);
            }
        }
        return changes;
    }

    private static void checkVersion(ConfigSnapshot snapshot, ResourceEdit edit) {
        Optional<Versioned> present = snapshot.find(edit.kind(), edit.name());
        boolean mustBeNew =
                edit.spec().isPresent()
                        && edit.expected().filter(Revision.NONE::equals).isPresent();
        if (mustBeNew && present.isPresent()) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_EXISTS,
                    "name",
                    resourcePath(edit) + " exists at version " + present.get().revision());
        }
        if (mustBeNew) {
            return;
        }
        if (present.isEmpty()) {
            throw new QuetzalscaleException(
                    ErrorKind.RESOURCE_UNKNOWN, "name", resourcePath(edit) + " does not exist");
        }
        Revision version = present.get().revision();
        if (edit.expected().isPresent() && !edit.expected().get().equals(version)) {
            throw new QuetzalscaleException(
                    ErrorKind.VERSION_CONFLICT,
                    "resourceVersion",
                    resourcePath(edit)
                            + " has version "
                            + version
                            + ", not "
                            + edit.expected().get());
        }
    }

    /** Returns the edit with the edits of resources that depend on its resource. */
    private static List<ResourceEdit> withDependents(ConfigSnapshot snapshot, ResourceEdit edit) {
        if (edit.kind() != Kind.WORKERS) {
            return List.of(edit);
        }
        boolean assigned = snapshot.find(Kind.ASSIGNMENTS, edit.name()).isPresent();
        if (edit.spec().isEmpty()) {
            ResourceEdit unassign =
                    ResourceEdit.delete(Kind.ASSIGNMENTS, edit.name(), Optional.empty());
            // The worker goes first: the check of its budget needs the assignment.
            return assigned ? List.of(edit, unassign) : List.of(edit);
        }
        PoolId pool = ((WorkerSpec) edit.spec().get()).pool();
        Spec active = new AssignmentSpec(pool, WorkerPhase.ACTIVE, "");
        return assigned ? List.of(edit) : List.of(edit, ResourceEdit.create(edit.name(), active));
    }

    private static void checkReferences(ConfigSnapshot snapshot, ResourceEdit edit) {
        if (edit.spec().isEmpty()) {
            checkUnused(snapshot, edit);
            return;
        }
        Spec spec = edit.spec().get();
        if (spec instanceof KeySpec key) {
            requireTeam(snapshot, key.team());
        } else if (spec instanceof QueueSpec queue) {
            requirePool(snapshot, "spec.pool", queue.pool());
        } else if (spec instanceof WorkerSpec worker) {
            requirePool(snapshot, "spec.pool", worker.pool());
            requireFreeAddress(snapshot, edit.name(), worker);
        } else if (spec instanceof AssignmentSpec assignment) {
            requirePool(snapshot, "spec.pool", assignment.pool());
            if (snapshot.worker(new WorkerId(edit.name())).isEmpty()) {
                throw missing("name", "worker", edit.name());
            }
        } else if (spec instanceof WaveSpec wave) {
            for (int i = 0; i < wave.pools().size(); i++) {
                requirePool(snapshot, "spec.pools[" + i + "]", wave.pools().get(i));
            }
        }
    }

    private static void requireTeam(ConfigSnapshot snapshot, TeamId team) {
        if (snapshot.team(team).isEmpty()) {
            throw missing("spec.team", "team", team.value());
        }
    }

    private static void requirePool(ConfigSnapshot snapshot, String field, PoolId pool) {
        if (snapshot.pool(pool).isEmpty()) {
            throw missing(field, "pool", pool.value());
        }
    }

    /** Rejects a second worker at an address: both would count the same slots. */
    private static void requireFreeAddress(
            ConfigSnapshot snapshot, String name, WorkerSpec worker) {
        snapshot.all(Kind.WORKERS)
                .forEach(
                        (other, versioned) -> {
                            WorkerSpec spec = (WorkerSpec) versioned.spec();
                            if (!other.equals(name) && spec.address().equals(worker.address())) {
                                throw new QuetzalscaleException(
                                        ErrorKind.INVALID_FIELD,
                                        "spec.address",
                                        "spec.address has the value "
                                                + worker.address()
                                                + ", which worker \""
                                                + other
                                                + "\" has");
                            }
                        });
    }

    private static QuetzalscaleException missing(String field, String kind, String name) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                field,
                field + " has the value " + name + ": no such " + kind);
    }

    private static void checkUnused(ConfigSnapshot snapshot, ResourceEdit edit) {
        switch (edit.kind()) {
            case POOLS -> checkPoolUnused(snapshot, edit);
            case TEAMS -> requireNotUsedBy(snapshot, edit, Kind.KEYS, EditRules::teamOfKey);
            case WORKERS -> checkBudget(snapshot, new WorkerId(edit.name()));
            default -> {
                // Nothing refers to resources of the other kinds.
            }
        }
    }

    /** Deleting an active worker counts against the availability budget as a drain does. */
    private static void checkBudget(ConfigSnapshot snapshot, WorkerId worker) {
        Optional<AssignmentSpec> assignment = snapshot.assignment(worker);
        if (assignment.isEmpty() || assignment.get().phase() != WorkerPhase.ACTIVE) {
            return;
        }
        PoolId pool = assignment.get().pool();
        long others =
                snapshot.all(Kind.ASSIGNMENTS).values().stream()
                                .map(versioned -> (AssignmentSpec) versioned.spec())
                                .filter(other -> other.pool().equals(pool))
                                .filter(other -> other.phase() == WorkerPhase.ACTIVE)
                                .count()
                        - 1;
        int minAvailable = snapshot.pool(pool).map(PoolSpec::minAvailable).orElse(0);
        if (others < minAvailable) {
            throw new QuetzalscaleException(
                    ErrorKind.BUDGET_EXHAUSTED,
                    "name",
                    "without worker \""
                            + worker
                            + "\" pool \""
                            + pool
                            + "\" would have "
                            + others
                            + " active workers, below its minAvailable of "
                            + minAvailable);
        }
    }

    private static String teamOfKey(Spec spec) {
        return ((KeySpec) spec).team().value();
    }

    private static void checkPoolUnused(ConfigSnapshot snapshot, ResourceEdit edit) {
        requireNotUsedBy(snapshot, edit, Kind.QUEUES, spec -> ((QueueSpec) spec).pool().value());
        requireNotUsedBy(snapshot, edit, Kind.WORKERS, spec -> ((WorkerSpec) spec).pool().value());
        requireNotUsedBy(
                snapshot, edit, Kind.ASSIGNMENTS, spec -> ((AssignmentSpec) spec).pool().value());
        snapshot.all(Kind.WAVES)
                .forEach(
                        (name, versioned) -> {
                            if (((WaveSpec) versioned.spec())
                                    .pools()
                                    .contains(new PoolId(edit.name()))) {
                                throw inUse(edit, Kind.WAVES, name);
                            }
                        });
    }

    private static void requireNotUsedBy(
            ConfigSnapshot snapshot,
            ResourceEdit edit,
            Kind users,
            java.util.function.Function<Spec, String> used) {
        snapshot.all(users)
                .forEach(
                        (name, versioned) -> {
                            if (used.apply(versioned.spec()).equals(edit.name())) {
                                throw inUse(edit, users, name);
                            }
                        });
    }

    private static QuetzalscaleException inUse(ResourceEdit edit, Kind users, String user) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_STATE,
                "name",
                resourcePath(edit) + " is used by " + users.path() + "/" + user);
    }

    private static String resourcePath(ResourceEdit edit) {
        return edit.kind().path() + "/" + edit.name();
    }
}
