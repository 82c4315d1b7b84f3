package org.quetzalscale.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.json.SpecJson;

/**
 * A resource as the server shows it.
 *
 * @param version the revision that last changed it, 0 if it does not exist yet
 * @param spec the declaration in its JSON form
 * @param status what the system reports about it, possibly missing
 */
public record Resource(Kind kind, String name, long version, JsonNode spec, JsonNode status) {
    private static final String VERSION = "resourceVersion";

    /** Requires all parts. */
    public Resource {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(status, "status");
    }

    /** A resource that does not exist yet. */
    public static Resource declared(Kind kind, String name, Spec spec) {
        return new Resource(
                kind, name, 0, SpecJson.write(spec), Json.mapper().getNodeFactory().missingNode());
    }

    /** The resource in a document of the server. */
    public static Resource of(Kind kind, JsonNode document) {
        return new Resource(
                kind,
                document.path("name").asText(),
                document.path(VERSION).asLong(),
                document.path("spec"),
                document.path("status"));
    }

    /** The same resource with another declaration. */
    public Resource withSpec(Spec changed) {
        return new Resource(kind, name, version, SpecJson.write(changed), status);
    }

    /** The declaration, with defaults and checked. */
    public Spec parsedSpec() {
        return SpecJson.read(kind, spec);
    }

    /** Kind and name, such as {@code teams/field-advice}. */
    public String title() {
        return kind.path() + "/" + name;
    }

    /** The document in the form of the operator interface. */
    public ObjectNode document() {
        ObjectNode document = Json.mapper().createObjectNode();
        document.put("kind", kind.path()).put("name", name);
        if (version > 0) {
            document.put(VERSION, version);
        }
        document.set("spec", spec);
        if (!status.isMissingNode()) {
            document.set("status", status);
        }
        return document;
    }
}
