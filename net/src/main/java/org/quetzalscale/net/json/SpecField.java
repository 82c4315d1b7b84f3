package org.quetzalscale.net.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;
import java.util.Optional;

/**
 * A field of a resource's spec in its JSON form.
 *
 * @param unit unit, range or form of the value, shown in error messages and the documentation
 * @param defaultValue the value when the field is absent, or empty if the field is required
 */
public record SpecField(String name, String unit, Optional<JsonNode> defaultValue) {
    /** No component may be null. */
    public SpecField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(unit, "unit");
        Objects.requireNonNull(defaultValue, "defaultValue");
    }

    static SpecField required(String name, String unit) {
        return new SpecField(name, unit, Optional.empty());
    }

    static SpecField optional(String name, String unit, Object defaultValue) {
        return new SpecField(
                name, unit, Optional.of(Json.mapper().<JsonNode>valueToTree(defaultValue)));
    }
}
