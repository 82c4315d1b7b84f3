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
 * The body of a submission.
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
     * Reads a body.
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
                        text(tree, "pool").orElse(""),
                        text(tree, "command").orElseThrow(() -> missing("command")),
                        integer(tree, "cores", DEFAULT_CORES),
                        integer(tree, "memoryMib", DEFAULT_MEMORY_MIB),
                        integer(tree, "accelerators", 0),
                        integer(tree, "slots", 1),
                        whole(tree, "expectedRunMs", DEFAULT_RUN_MILLIS),
                        bool(tree, "urgent"),
                        integer(tree, "priority", 0),
                        whole(tree, "deadlineMs", 0),
                        integer(tree, "maxFailures", DEFAULT_MAX_FAILURES));
        Optional<String> key = text(tree, "submissionKey");
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARS)) {
            throw invalid(
                    "submissionKey",
                    tree.get("submissionKey"),
                    "expected 1 to " + MAX_KEY_CHARS + " characters");
        }
        return new JobRequest(spec, key);
    }

    private static Optional<String> text(JsonNode tree, String field) {
        JsonNode value = tree.get(field);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw invalid(field, value, "expected a string");
        }
        return Optional.of(value.textValue());
    }

    private static int integer(JsonNode tree, String field, int absent) {
        long value = whole(tree, field, absent);
        if (value != (int) value) {
            throw invalid(field, tree.get(field), "out of range");
        }
        return (int) value;
    }

    private static long whole(JsonNode tree, String field, long absent) {
        JsonNode value = tree.get(field);
        if (value == null) {
            return absent;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw invalid(field, value, "expected a whole number");
        }
        return value.longValue();
    }

    private static boolean bool(JsonNode tree, String field) {
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
