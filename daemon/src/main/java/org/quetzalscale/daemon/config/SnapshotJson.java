package org.quetzalscale.daemon.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.net.json.Json;

/** The JSON form of a snapshot: its revision, and the change that last wrote each resource. */
public final class SnapshotJson {
    private static final ChangeJson CHANGES = new ChangeJson();

    private SnapshotJson() {}

    /** Writes a snapshot in UTF-8. */
    public static byte[] write(ConfigSnapshot snapshot) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("revision", snapshot.revision().value());
        ArrayNode resources = node.putArray("resources");
        for (Kind kind : Kind.values()) {
            snapshot.all(kind)
                    .forEach(
                            (name, versioned) ->
                                    resources.add(CHANGES.encode(record(kind, name, versioned))));
        }
        return Json.writeBytes(node);
    }

    private static ChangeRecord record(Kind kind, String name, Versioned versioned) {
        return new ChangeRecord(
                new Change(
                        versioned.revision(), kind, name, java.util.Optional.of(versioned.spec())),
                "");
    }

    /**
     * Reads a snapshot.
     *
     * @throws org.quetzalscale.core.error.QuetzalscaleException MALFORMED_REQUEST or INVALID_FIELD
     *     if the text is not a snapshot
     */
    public static ConfigSnapshot read(byte[] text) {
        JsonNode node = Json.readTree(text);
        FieldReader fields = new FieldReader(node, "");
        long revision =
                fields.optionalLong("revision")
                        .orElseThrow(() -> FieldReader.invalid("revision", null, "required"));
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        for (ChangeRecord record :
                fields.list("resources", CHANGES::decode).orElse(java.util.List.of())) {
            Change change = record.change();
            resources
                    .computeIfAbsent(change.kind(), kind -> new TreeMap<>())
                    .put(
                            change.name(),
                            new Versioned(change.revision(), change.spec().orElseThrow()));
        }
        return ConfigSnapshot.of(new Revision(revision), resources);
    }
}
