package org.quetzalscale.daemon.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Reads the fields of one JSON object. Each error is INVALID_FIELD with the path of the field and
 * the offending value.
 */
public final class FieldReader {
    private static final int MAX_SHOWN_CHARS = 80;

    private final JsonNode object;
    private final String path;
    private final Set<String> known = new HashSet<>();

    /**
     * Reads the given object.
     *
     * @param path path of the object, or empty for the root
     * @throws QuetzalscaleException INVALID_FIELD if the node is not an object
     */
    public FieldReader(JsonNode node, String path) {
        if (node == null || node.isMissingNode() || node.isNull()) {
            throw missing(path.isEmpty() ? "body" : path);
        }
        if (!node.isObject()) {
            throw invalid(path.isEmpty() ? "body" : path, node, "expected an object");
        }
        this.object = node;
        this.path = path;
    }

    /** Reads a required text. */
    public String text(String field) {
        return optionalText(field).orElseThrow(() -> missing(pathOf(field)));
    }

    /** Reads an optional text. */
    public Optional<String> optionalText(String field) {
        return value(field).map(node -> textOf(pathOf(field), node));
    }

    /** Reads a required value that is parsed from a text, such as an id. */
    public <T> T parsed(String field, Function<String, T> parser) {
        return parse(pathOf(field), text(field), parser);
    }

    /** Reads a required whole number. */
    public int integer(String field) {
        return optionalInteger(field).orElseThrow(() -> missing(pathOf(field)));
    }

    /** Reads a whole number with a default. */
    public int integer(String field, int byDefault) {
        return optionalInteger(field).orElse(byDefault);
    }

    /** Reads an optional 64-bit whole number. */
    public Optional<Long> optionalLong(String field) {
        return value(field)
                .map(
                        node -> {
                            if (!node.isIntegralNumber() || !node.canConvertToLong()) {
                                throw invalid(pathOf(field), node, "expected a whole number");
                            }
                            return node.longValue();
                        });
    }

    /** Reads a required number. */
    public double number(String field) {
        return optionalNumber(field).orElseThrow(() -> missing(pathOf(field)));
    }

    /** Reads a number with a default. */
    public double number(String field, double byDefault) {
        return optionalNumber(field).orElse(byDefault);
    }

    /** Reads a boolean with a default. */
    public boolean bool(String field, boolean byDefault) {
        return value(field)
                .map(
                        node -> {
                            if (!node.isBoolean()) {
                                throw invalid(pathOf(field), node, "expected true or false");
                            }
                            return node.booleanValue();
                        })
                .orElse(byDefault);
    }

    /** Reads a list of values parsed from texts; empty if the field is absent. */
    public <T> Optional<List<T>> list(String field, Function<String, T> parser) {
        return value(field)
                .map(
                        node -> {
                            if (!node.isArray()) {
                                throw invalid(pathOf(field), node, "expected a list");
                            }
                            List<T> values = new ArrayList<>();
                            for (int i = 0; i < node.size(); i++) {
                                String at = pathOf(field) + "[" + i + "]";
                                values.add(parse(at, textOf(at, node.get(i)), parser));
                            }
                            return values;
                        });
    }

    /** Reads a required object. */
    public FieldReader object(String field) {
        known.add(field);
        return new FieldReader(object.path(field), pathOf(field));
    }

    /** Accepts the field with any value. */
    public void ignore(String field) {
        known.add(field);
    }

    /**
     * Rejects fields that were not read.
     *
     * @throws QuetzalscaleException INVALID_FIELD if there is a field that was not read
     */
    public void finish() {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw invalid(pathOf(name), object.get(name), "no such field");
            }
        }
    }

    /** Creates the error for a field with an invalid value. */
    public static QuetzalscaleException invalid(String field, Object value, String expected) {
        String shown = String.valueOf(value);
        if (shown.length() > MAX_SHOWN_CHARS) {
            shown = shown.substring(0, MAX_SHOWN_CHARS) + "...";
        }
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                field,
                field + " has the value " + shown + ": " + expected);
    }

    private static QuetzalscaleException missing(String field) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD, field, field + " is missing: it is required");
    }

    private Optional<Integer> optionalInteger(String field) {
        return value(field)
                .map(
                        node -> {
                            if (!node.isIntegralNumber() || !node.canConvertToInt()) {
                                throw invalid(
                                        pathOf(field), node, "expected a whole number of 32 bits");
                            }
                            return node.intValue();
                        });
    }

    private Optional<Double> optionalNumber(String field) {
        return value(field)
                .map(
                        node -> {
                            if (!node.isNumber()) {
                                throw invalid(pathOf(field), node, "expected a number");
                            }
                            return node.doubleValue();
                        });
    }

    private Optional<JsonNode> value(String field) {
        known.add(field);
        JsonNode node = object.get(field);
        return node == null || node.isNull() ? Optional.empty() : Optional.of(node);
    }

    private static String textOf(String field, JsonNode node) {
        if (!node.isTextual()) {
            throw invalid(field, node, "expected a text");
        }
        return node.textValue();
    }

    private static <T> T parse(String field, String text, Function<String, T> parser) {
        try {
            return parser.apply(text);
        } catch (QuetzalscaleException e) {
            throw new QuetzalscaleException(e.kind(), field, field + ": " + e.getMessage());
        }
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }
}
