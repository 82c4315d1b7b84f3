package org.quetzalscale.net.json;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerSpec;

/** Converts specs of resources to and from JSON, and fills in the defaults of absent fields. */
public final class SpecJson {
    private static final String SPEC = "spec";
    private static final String WEIGHTS = "weights";
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .addMixIn(PoolId.class, NameMixIn.class)
                    .addMixIn(TeamId.class, NameMixIn.class)
                    .addMixIn(ZoneId.class, NameMixIn.class)
                    .addMixIn(RackId.class, NameMixIn.class)
                    .build();

    private SpecJson() {}

    /** The fields of a kind, in the order of the record's components. */
    public static List<SpecField> fields(Kind kind) {
        return SpecFields.of(kind);
    }

    /** The path of the object that holds a kind's fields, such as {@code spec.weights}. */
    public static String path(Kind kind) {
        return kind == Kind.DEPLOYMENTS ? SPEC + "." + WEIGHTS : SPEC;
    }

    /** The object that holds the fields of a spec, or a missing node. */
    public static JsonNode fieldsOf(Kind kind, JsonNode spec) {
        return kind == Kind.DEPLOYMENTS ? spec.path(WEIGHTS) : spec;
    }

    /** Writes a spec as JSON with every field. */
    public static ObjectNode write(Spec spec) {
        ObjectNode fields = MAPPER.valueToTree(spec);
        if (spec instanceof QueueSpec queue) {
            // The iteration order of a set is undefined; sorting gives equal specs equal text.
            fields.set(
                    "idempotentMethods",
                    MAPPER.valueToTree(new TreeSet<>(queue.idempotentMethods())));
        }
        if (spec instanceof DeploymentSpec) {
            return MAPPER.createObjectNode().set(WEIGHTS, fields);
        }
        return fields;
    }

    /**
     * Reads a spec; absent fields get their defaults.
     *
     * @throws QuetzalscaleException INVALID_FIELD, with the field and its value, if a field is
     *     unknown, missing, of the wrong type or out of range
     */
    public static Spec read(Kind kind, JsonNode spec) {
        ObjectNode fields = object(SPEC, spec);
        if (kind == Kind.DEPLOYMENTS) {
            requireKnown(kind, SPEC, fields, List.of(WEIGHTS));
            fields = object(path(kind), fields.get(WEIGHTS));
        }
        requireKnown(kind, path(kind), fields, fields(kind).stream().map(SpecField::name).toList());
        for (SpecField field : fields(kind)) {
            if (!fields.hasNonNull(field.name())) {
                fields.set(field.name(), defaultValue(kind, field));
            }
        }
        try {
            return MAPPER.treeToValue(fields, type(kind));
        } catch (JsonMappingException e) {
            throw fieldError(kind, fields, e);
        } catch (JsonProcessingException e) {
            throw invalid(SPEC, "spec cannot be read: " + e.getOriginalMessage());
        }
    }

    private static ObjectNode object(String path, JsonNode node) {
        if (node == null || !node.isObject()) {
            throw invalid(path, path + " is missing but required: expected an object of fields");
        }
        return node.deepCopy();
    }

    private static JsonNode defaultValue(Kind kind, SpecField field) {
        String path = path(kind) + "." + field.name();
        return field.defaultValue()
                .orElseThrow(
                        () ->
                                invalid(
                                        path,
                                        path
                                                + " is missing but required: expected "
                                                + field.unit()));
    }

    private static void requireKnown(Kind kind, String path, ObjectNode node, List<String> known) {
        for (Iterator<Map.Entry<String, JsonNode>> entries = node.fields(); entries.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = entries.next();
            if (!known.contains(entry.getKey())) {
                String field = path + "." + entry.getKey();
                throw invalid(
                        field,
                        field
                                + " has the value "
                                + entry.getValue()
                                + ", but "
                                + kind.path()
                                + " have no such field; their fields are "
                                + String.join(", ", known));
            }
        }
    }

    private static QuetzalscaleException fieldError(
            Kind kind, ObjectNode fields, JsonMappingException e) {
        String name =
                e.getPath().stream()
                        .map(JsonMappingException.Reference::getFieldName)
                        .filter(Objects::nonNull)
                        .findFirst()
                        .orElse("");
        String field = name.isEmpty() ? SPEC : path(kind) + "." + name;
        if (e.getCause() instanceof QuetzalscaleException cause) {
            return name.isEmpty() ? cause : invalid(field, field + ": " + cause.getMessage());
        }
        String expected =
                fields(kind).stream()
                        .filter(known -> known.name().equals(name))
                        .map(SpecField::unit)
                        .findFirst()
                        .orElse("a spec of " + kind.path());
        return invalid(
                field, field + " has the value " + fields.get(name) + ": expected " + expected);
    }

    private static Class<? extends Spec> type(Kind kind) {
        return switch (kind) {
            case TEAMS -> TeamSpec.class;
            case KEYS -> KeySpec.class;
            case POOLS -> PoolSpec.class;
            case WORKERS -> WorkerSpec.class;
            case QUEUES -> QueueSpec.class;
            case WAVES -> WaveSpec.class;
            case DEPLOYMENTS -> DeploymentSpec.class;
            case ASSIGNMENTS -> AssignmentSpec.class;
        };
    }

    private static QuetzalscaleException invalid(String field, String message) {
        return new QuetzalscaleException(ErrorKind.INVALID_FIELD, field, message);
    }

    /** Reads and writes a name as a plain string. */
    private abstract static class NameMixIn {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        NameMixIn(String value) {}

        @JsonValue
        abstract String value();
    }
}
