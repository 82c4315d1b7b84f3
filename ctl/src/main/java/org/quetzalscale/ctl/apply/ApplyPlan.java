package org.quetzalscale.ctl.apply;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.document.Document;
import org.quetzalscale.net.json.SpecJson;

/**
 * The changes that make the present resources as declared, in an order in which each resource
 * exists before those that name it.
 */
public final class ApplyPlan {
    /** Kinds in the order of their dependencies. */
    public static final List<Kind> ORDER =
            List.of(
                    Kind.TEAMS,
                    Kind.POOLS,
                    Kind.DEPLOYMENTS,
                    Kind.KEYS,
                    Kind.QUEUES,
                    Kind.WORKERS,
                    Kind.WAVES);

    /**
     * Fields that commands set during operation. A declaration without them keeps their present
     * value; otherwise applying a file would put a drained worker back to work, or make a withdrawn
     * key valid.
     */
    private static final Map<Kind, Set<String>> OPERATION_FIELDS =
            Map.of(
                    Kind.WORKERS, Set.of("drain"),
                    Kind.KEYS, Set.of("withdrawn"),
                    Kind.WAVES, Set.of("paused", "aborted"));

    private ApplyPlan() {}

    /**
     * Compares declarations with the present resources.
     *
     * @param present the resources by kind and name, of every kind that is declared or pruned
     * @param pruned kinds whose undeclared resources are deleted
     */
    public static List<PlannedChange> of(
            List<Document> documents, Map<Kind, Map<String, Resource>> present, Set<Kind> pruned) {
        List<PlannedChange> changes = new ArrayList<>();
        Set<String> declared = new HashSet<>();
        for (Kind kind : ORDER) {
            for (Document document : documents) {
                if (document.kind() == kind) {
                    declared.add(document.title());
                    changes.add(write(document, present.get(kind).get(document.name())));
                }
            }
        }
        List<Kind> reversed = new ArrayList<>(ORDER);
        Collections.reverse(reversed);
        for (Kind kind : reversed) {
            if (!pruned.contains(kind)) {
                continue;
            }
            for (Resource resource : present.get(kind).values()) {
                if (!declared.contains(resource.title())) {
                    changes.add(delete(resource));
                }
            }
        }
        return changes;
    }

    private static PlannedChange write(Document document, Resource present) {
        Kind kind = document.kind();
        Spec wanted = SpecJson.read(kind, withOperationFields(document, present));
        Resource declared =
                Optional.ofNullable(present)
                        .map(resource -> resource.withSpec(wanted))
                        .orElseGet(() -> Resource.declared(kind, document.name(), wanted));
        JsonNode before = present == null ? MissingNode.getInstance() : present.spec();
        String diff = SpecDiff.of(kind, before, declared.spec());
        Action action = Action.CREATED;
        if (present != null) {
            action = diff.isEmpty() ? Action.UNCHANGED : Action.CHANGED;
        }
        return new PlannedChange(action, declared, document.place(), diff);
    }

    private static PlannedChange delete(Resource resource) {
        String diff = SpecDiff.of(resource.kind(), resource.spec(), MissingNode.getInstance());
        return new PlannedChange(Action.DELETED, resource, "", diff);
    }

    private static JsonNode withOperationFields(Document document, Resource present) {
        if (present == null) {
            return document.spec();
        }
        ObjectNode spec = document.spec().deepCopy();
        for (String field : OPERATION_FIELDS.getOrDefault(document.kind(), Set.of())) {
            if (!spec.hasNonNull(field) && present.spec().hasNonNull(field)) {
                spec.set(field, present.spec().get(field));
            }
        }
        return spec;
    }
}
