package org.quetzalscale.daemon.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.ConfigCodecs;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.json.SpecJson;

/** The JSON form of a change, as stored in the table and sent between instances. */
public final class ChangeJson implements RowCodec<ChangeRecord> {
    /** The codecs of all configuration rows. */
    public static final ConfigCodecs CODECS =
            new ConfigCodecs(new ChangeJson(), Json.codec(LimitRow.class));

    @Override
    public String encode(ChangeRecord record) {
        Change change = record.change();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("revision", change.revision().value())
                .put("kind", change.kind().path())
                .put("name", change.name());
        change.spec().ifPresent(spec -> node.set("spec", SpecJson.write(spec)));
        node.put("writer", record.writerId());
        return Json.write(node);
    }

    @Override
    public ChangeRecord decode(String text) {
        JsonNode node = Json.readTree(text.getBytes(StandardCharsets.UTF_8));
        FieldReader fields = new FieldReader(node, "");
        Kind kind = fields.parsed("kind", ChangeJson::kind);
        String name = fields.parsed("name", value -> Names.requireName("name", value));
        Revision revision =
                new Revision(
                        fields.optionalLong("revision")
                                .orElseThrow(
                                        () -> FieldReader.invalid("revision", null, "required")));
        Optional<Spec> spec =
                node.has("spec")
                        ? Optional.of(SpecJson.read(kind, node.get("spec")))
                        : Optional.empty();
        return new ChangeRecord(new Change(revision, kind, name, spec), fields.text("writer"));
    }

    private static Kind kind(String path) {
        return Kind.ofPath(path)
                .orElseThrow(() -> FieldReader.invalid("kind", path, "no such kind"));
    }
}
