package org.quetzalscale.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.config.ConfigService;

/** Renders resources of this instance's copy as JSON. */
final class ResourceReader {
    private final ConfigService config;
    private final OperatorHooks hooks;

    ResourceReader(ConfigService config, OperatorHooks hooks) {
        this.config = config;
        this.hooks = hooks;
    }

    /**
     * Returns all resources of a kind, in name order, with the revision from which a watch
     * continues.
     */
    ObjectNode list(Kind kind) {
        ConfigSnapshot snapshot = config.snapshot();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("kind", kind.path()).put("revision", snapshot.revision().value());
        ArrayNode items = node.putArray("items");
        snapshot.all(kind)
                .forEach((name, versioned) -> items.add(show(snapshot, kind, name, versioned)));
        return node;
    }

    /** Returns one resource; throws RESOURCE_UNKNOWN. */
    ObjectNode read(Kind kind, String name) {
        ConfigSnapshot snapshot = config.snapshot();
        return snapshot.find(kind, name)
                .map(versioned -> show(snapshot, kind, name, versioned))
                .orElseThrow(
                        () ->
                                new QuetzalscaleException(
                                        ErrorKind.RESOURCE_UNKNOWN,
                                        kind.path() + "/" + name + " does not exist"));
    }

    /** Returns a resource with its status. */
    ObjectNode show(ConfigSnapshot snapshot, Kind kind, String name, Versioned versioned) {
        Map<String, Object> status = new LinkedHashMap<>();
        if (kind == Kind.WORKERS) {
            snapshot.assignment(new WorkerId(name))
                    .ifPresent(
                            assignment -> {
                                status.put("pool", assignment.pool().value());
                                status.put("phase", assignment.phase().name());
                                status.put("reason", assignment.reason());
                            });
        }
        status.putAll(hooks.resourceStatus().apply(kind, name));
        return ResourceDocument.write(kind, name, versioned, status);
    }
}
