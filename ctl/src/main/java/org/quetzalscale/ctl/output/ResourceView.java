package org.quetzalscale.ctl.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.net.json.SpecField;
import org.quetzalscale.net.json.SpecJson;

/** Shows resources and other JSON documents as text. */
public final class ResourceView {
    private static final String INDENT = "  ";

    private ResourceView() {}

    /** A table of resources of one kind: name, version, spec fields, status fields. */
    public static String table(Kind kind, List<Resource> resources) {
        TreeSet<String> statusFields = new TreeSet<>();
        for (Resource resource : resources) {
            resource.status().fieldNames().forEachRemaining(statusFields::add);
        }
        List<String> titles = new ArrayList<>(List.of("NAME", "VERSION"));
        SpecJson.fields(kind).forEach(field -> titles.add(field.name()));
        statusFields.forEach(field -> titles.add("status." + field));
        TextTable table =
                new TextTable(titles.stream().map(t -> t.toUpperCase(Locale.ROOT)).toList());
        for (Resource resource : resources) {
            List<String> cells = new ArrayList<>();
            cells.add(resource.name());
            cells.add(Long.toString(resource.version()));
            JsonNode fields = SpecJson.fieldsOf(kind, resource.spec());
            for (SpecField field : SpecJson.fields(kind)) {
                cells.add(cell(fields.path(field.name())));
            }
            statusFields.forEach(field -> cells.add(cell(resource.status().path(field))));
            table.add(cells);
        }
        return table.render();
    }

    /** Every field of a document on a line of its own, objects indented. */
    public static String lines(JsonNode document) {
        StringBuilder text = new StringBuilder();
        appendLines(document, "", text);
        return text.toString();
    }

    private static void appendLines(JsonNode node, String indent, StringBuilder text) {
        for (Iterator<Map.Entry<String, JsonNode>> all = node.fields(); all.hasNext(); ) {
            Map.Entry<String, JsonNode> field = all.next();
            JsonNode value = field.getValue();
            text.append(indent).append(field.getKey()).append(':');
            if (value.isObject()) {
                text.append('\n');
                appendLines(value, indent + INDENT, text);
            } else if (value.isArray() && value.path(0).isObject()) {
                text.append('\n');
                objects(value)
                        .lines()
                        .forEach(
                                line ->
                                        text.append(indent)
                                                .append(INDENT)
                                                .append(line)
                                                .append('\n'));
            } else {
                text.append(' ').append(cell(value)).append('\n');
            }
        }
    }

    /** A table of objects, with a column for each field that one of them has. */
    private static String objects(JsonNode items) {
        LinkedHashSet<String> fields = new LinkedHashSet<>();
        items.forEach(item -> item.fieldNames().forEachRemaining(fields::add));
        TextTable table =
                new TextTable(fields.stream().map(f -> f.toUpperCase(Locale.ROOT)).toList());
        items.forEach(item -> table.add(fields.stream().map(f -> cell(item.path(f))).toList()));
        return table.render();
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.forEach(item -> items.add(cell(item)));
            return items.isEmpty() ? "-" : String.join(",", items);
        }
        String text = value.isValueNode() ? value.asText() : value.toString();
        return text.isEmpty() ? "-" : text;
    }
}
