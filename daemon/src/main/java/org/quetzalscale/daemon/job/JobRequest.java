package org.quetzalscale.daemon.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.job.JobSpec;
import org.quetzalscale.net.json.Json;

/**
 * The parsed body of a job submission.
 *
 * @param submissionKey the submitter's key, which makes a repeated submission idempotent
 */
record JobRequest(JobSpec spec, Optional<String> submissionKey) {
    private static final Set<String> FIELDS =
            Set.of(
                    "command",
                    "pool",
                    "cores",
                    "memoryMib",
                    "accelerators",
                    "slots",
                    "expectedRunMs",
                    "urgent",
                    "priority",
                    "deadlineMs",
                    "maxFailures",
                    "submissionKey");
    private static final int MAX_KEY_CHARS = 256;
    private static final int DEFAULT_CORES = 1;
    private static final int DEFAULT_MEMORY_MIB = 1_024;
    private static final int DEFAULT_RUN_MILLIS = 60_000;
    private static final int DEFAULT_MAX_FAILURES = 5;

    /**
     * Parses a body.
     *
     * @throws QuetzalscaleException MALFORMED_REQUEST if it is not a JSON object, INVALID_FIELD
     *     with the field and its value if one is unknown or out of its range
     */
    static JobRequest read(TeamId team, byte[] body) {
        JsonNode tree = Json.readTree(body);
        if (tree == null || !tree.isObject()) {
            throw new QuetzalscaleException(
                    ErrorKind.MALFORMED_REQUEST, "the body is not a JSON object");
        }
        for (Iterator<String> names = tree.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!FIELDS.contains(name)) {
                throw invalid(name, tree.get(name), "there is no such field");
            }
        }
        JobSpec spec =
                new JobSpec(
                        team,
                        textField(tree, "pool").orElse(""),
                        textField(tree, "command").orElseThrow(() -> missing("command")),
                        intField(tree, "cores", DEFAULT_CORES),
                        intField(tree, "memoryMib", DEFAULT_MEMORY_MIB),
                        intField(tree, "accelerators", 0),
                        intField(tree, "slots", 1),
                        longField(tree, "expectedRunMs", DEFAULT_RUN_MILLIS),
                        booleanField(tree, "urgent"),
                        intField(tree, "priority", 0),
                        longField(tree, "deadlineMs", 0),
                        intField(tree, "maxFailures", DEFAULT_MAX_FAILURES));
        Optional<String> key = textField(tree, "submissionKey");
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARS)) {
            throw invalid(
                    "submissionKey",
                    tree.get("submissionKey"),
                    "expected 1 to " + MAX_KEY_CHARS + " characters");
        }
        return new JobRequest(spec, key);
    }

    private static Optional<String> textField(JsonNode tree, String field) {
        JsonNode value = tree.get(field);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw invalid(field, value, "expected a string");
        }
        return Optional.of(value.textValue());
    }

    private static int intField(JsonNode tree, String field, int defaultValue) {
        long value = longField(tree, field, defaultValue);
        if (value != (int) value) {
            throw invalid(field, tree.get(field), "out of range");
        }
        return (int) value;
    }

    private static long longField(JsonNode tree, String field, long defaultValue) {
        JsonNode value = tree.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw invalid(field, value, "expected a whole number");
        }
        return value.longValue();
    }

    private static boolean booleanField(JsonNode tree, String field) {
        JsonNode value = tree.get(field);
        if (value != null && !value.isBoolean()) {
            throw invalid(field, value, "expected true or false");
        }
        return value != null && value.booleanValue();
    }

    private static QuetzalscaleException missing(String field) {
        return new QuetzalscaleException(ErrorKind.INVALID_FIELD, field, field + " is required");
    }

    private static QuetzalscaleException invalid(String field, JsonNode value, String expected) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_FIELD,
                field,
                field + " has the value " + value + ": " + expected);
    }
}
