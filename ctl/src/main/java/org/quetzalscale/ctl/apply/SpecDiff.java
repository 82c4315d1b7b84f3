package org.quetzalscale.ctl.apply;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.net.json.SpecField;
import org.quetzalscale.net.json.SpecJson;

/** Lists the fields that differ between two specs in their JSON form. */
final class SpecDiff {
    private SpecDiff() {}

    /**
     * One line for each side of each field that differs, such as {@code - spec.slots: 8}.
     *
     * @param before the present spec, or a missing node
     * @param after the wanted spec, or a missing node
     */
    static String of(Kind kind, JsonNode before, JsonNode after) {
        List<String> lines = new ArrayList<>();
        for (SpecField field : SpecJson.fields(kind)) {
            JsonNode old = value(kind, before, field);
            JsonNode wanted = value(kind, after, field);
            if (old.equals(wanted)) {
                continue;
            }
            String path = SpecJson.path(kind) + "." + field.name();
            if (!old.isMissingNode()) {
                lines.add("- " + path + ": " + old);
            }
            if (!wanted.isMissingNode()) {
                lines.add("+ " + path + ": " + wanted);
            }
        }
        return String.join("\n", lines);
    }

    private static JsonNode value(Kind kind, JsonNode spec, SpecField field) {
        if (spec.isMissingNode()) {
            return MissingNode.getInstance();
        }
        // Through the record, so that 4 and 4.0 or an absent field and its default are equal.
        JsonNode normal = SpecJson.write(SpecJson.read(kind, spec));
        return SpecJson.fieldsOf(kind, normal).path(field.name());
    }
}
