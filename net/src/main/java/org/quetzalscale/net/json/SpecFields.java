package org.quetzalscale.net.json;

import static org.quetzalscale.net.json.SpecField.optional;
import static org.quetzalscale.net.json.SpecField.required;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.QueueSpec;

/** The fields of each kind of resource, with their units and default values. */
final class SpecFields {
    private static final String BOOLEAN = "true or false";
    private static final String WEIGHT = "weight, at least 0";
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONNECTIONS = 64;
    private static final int DEFAULT_MAX_QUEUED = 1_000;
    private static final int DEFAULT_MAX_PARALLEL = 1;
    private static final double DEFAULT_FAILURE_THRESHOLD = 0.1;

    private static final Map<Kind, List<SpecField>> FIELDS = table();

    private SpecFields() {}

    static List<SpecField> of(Kind kind) {
        return FIELDS.get(kind);
    }

    private static Map<Kind, List<SpecField>> table() {
        Map<Kind, List<SpecField>> fields = new EnumMap<>(Kind.class);
        fields.put(
                Kind.TEAMS,
                List.of(
                        required("share", "weight, above 0"),
                        required("upperLimit", "units, 0 to 1,000,000")));
        fields.put(
                Kind.KEYS,
                List.of(
                        required("team", "name of a team"),
                        required("secretHash", "SHA-256, 64 digits 0-9a-f"),
                        optional("withdrawn", BOOLEAN, false)));
        fields.put(
                Kind.POOLS,
                List.of(
                        required("minAvailable", "workers, 0 to 10,000"),
                        optional("spare", BOOLEAN, false)));
        fields.put(Kind.WORKERS, workerFields());
        fields.put(
                Kind.QUEUES,
                List.of(
                        required("pool", "name of a pool"),
                        optional("open", BOOLEAN, false),
                        required("timeoutMs", "ms, 1 to 60,000"),
                        optional("maxQueued", "requests, 0 to 100,000", DEFAULT_MAX_QUEUED),
                        optional(
                                "idempotentMethods",
                                "HTTP methods",
                                new TreeSet<>(QueueSpec.DEFAULT_IDEMPOTENT_METHODS))));
        fields.put(
                Kind.WAVES,
                List.of(
                        optional("pools", "names of pools, empty for all", List.of()),
                        required("action", "REBOOT or REPLACE"),
                        optional("maxParallel", "workers, 1 to 10,000", DEFAULT_MAX_PARALLEL),
                        optional("paused", BOOLEAN, false),
                        optional("aborted", BOOLEAN, false),
                        optional(
                                "failureThreshold",
                                "share of maintained workers, 0 to 1",
                                DEFAULT_FAILURE_THRESHOLD)));
        fields.put(
                Kind.DEPLOYMENTS,
                List.of(
                        required("bufferCost", WEIGHT),
                        required("rollOutTime", WEIGHT),
                        required("moves", WEIGHT),
                        required("share", WEIGHT)));
        fields.put(
                Kind.ASSIGNMENTS,
                List.of(
                        required("pool", "name of a pool"),
                        required("phase", "ACTIVE, DRAINING, DRAINED, REBOOTING or FAILED"),
                        optional("reason", "text", "")));
        return fields;
    }

    private static List<SpecField> workerFields() {
        return List.of(
                required("pool", "name of a pool"),
                required("address", "ip:port"),
                required("zone", "name of an availability zone"),
                required("rack", "name of a rack"),
                optional("slots", "requests, 1 to 100,000", DEFAULT_SLOTS),
                optional("connections", "connections, 1 to 100,000", DEFAULT_CONNECTIONS),
                required("cores", "cores, 1 to 100,000"),
                required("memoryMib", "MiB, 1 to 1,073,741,824"),
                optional("accelerators", "accelerators, 0 to 100,000", 0),
                optional("drain", BOOLEAN, false));
    }
}
