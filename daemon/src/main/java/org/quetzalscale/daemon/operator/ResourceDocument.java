package org.quetzalscale.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.config.FieldReader;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.json.SpecJson;

/**
 * A resource as an operator sends it, with its spec not parsed yet.
 *
 * @param version the version that the operator expects, if given
 */
record ResourceDocument(Kind kind, String name, Optional<Revision> version, JsonNode spec) {
    /**
     * Reads a document.
     *
     * @param name the name in the path, or empty if the document names the resource
     * @throws org.quetzalscale.core.error.QuetzalscaleException MALFORMED_REQUEST or INVALID_FIELD
     */
    static ResourceDocument read(Kind kind, Optional<String> name, byte[] body) {
        JsonNode node = Json.readTree(body);
        FieldReader fields = new FieldReader(node, "");
        Optional<String> declaredKind = fields.optionalText("kind");
        if (declaredKind.isPresent() && !declaredKind.get().equals(kind.path())) {
            throw FieldReader.invalid("kind", declaredKind.get(), "expected " + kind.path());
        }
        Optional<String> declaredName = fields.optionalText("name");
        if (name.isPresent() && declaredName.isPresent() && !declaredName.equals(name)) {
            throw FieldReader.invalid("name", declaredName.get(), "the path names " + name.get());
        }
        Optional<Revision> version = fields.optionalLong("resourceVersion").map(Revision::new);
        fields.ignore("status");
        fields.ignore("spec");
        fields.finish();
        String used = name.orElseGet(() -> fields.text("name"));
        Names.requireName("name", used);
        return new ResourceDocument(kind, used, version, node.path("spec"));
    }

    /** Writes a resource. */
    static ObjectNode write(
            Kind kind, String name, Versioned versioned, Map<String, Object> status) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("kind", kind.path())
                .put("name", name)
                .put("resourceVersion", versioned.revision().value());
        node.set("spec", SpecJson.write(versioned.spec()));
        node.set("status", Json.mapper().valueToTree(status));
        return node;
    }
}
