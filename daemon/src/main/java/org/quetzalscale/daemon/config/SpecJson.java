package org.quetzalscale.daemon.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
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
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.resource.WaveSpec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/** Converts specs to and from the JSON form that operators and the table use. */
public final class SpecJson {
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONNECTIONS = 64;
    private static final int DEFAULT_MAX_QUEUED = 1_000;
    private static final int DEFAULT_MAX_PARALLEL = 1;
    private static final double DEFAULT_FAILURE_THRESHOLD = 0.1;

    private SpecJson() {}

    /**
     * Reads a spec and checks it.
     *
     * @param path path of the spec in the document, for messages
     * @throws org.quetzalscale.core.error.QuetzalscaleException INVALID_FIELD with the field's path
     *     and value
     */
    public static Spec read(Kind kind, JsonNode node, String path) {
        FieldReader fields = new FieldReader(node, path);
        Spec spec =
                switch (kind) {
                    case TEAMS ->
                            new TeamSpec(fields.number("share"), fields.integer("upperLimit"));
                    case KEYS ->
                            new KeySpec(
                                    fields.parsed("team", TeamId::new),
                                    fields.text("secretHash"),
                                    fields.bool("withdrawn", false));
                    case POOLS ->
                            new PoolSpec(
                                    fields.integer("minAvailable"), fields.bool("spare", false));
                    case WORKERS -> readWorker(fields);
                    case QUEUES -> readQueue(fields);
                    case WAVES -> readWave(fields);
                    case DEPLOYMENTS -> readDeployment(fields);
                    case ASSIGNMENTS ->
                            new AssignmentSpec(
                                    fields.parsed("pool", PoolId::new),
                                    constant(fields, "phase", WorkerPhase.class),
                                    fields.optionalText("reason").orElse(""));
                };
        fields.finish();
        return spec;
    }

    private static Spec readWorker(FieldReader fields) {
        return new WorkerSpec(
                fields.parsed("pool", PoolId::new),
                fields.text("address"),
                fields.parsed("zone", ZoneId::new),
                fields.parsed("rack", RackId::new),
                fields.integer("slots", DEFAULT_SLOTS),
                fields.integer("connections", DEFAULT_CONNECTIONS),
                fields.integer("cores"),
                fields.integer("memoryMib"),
                fields.integer("accelerators", 0),
                fields.bool("drain", false));
    }

    private static Spec readQueue(FieldReader fields) {
        Set<String> methods =
                fields.list("idempotentMethods", SpecJson::method)
                        .<Set<String>>map(Set::copyOf)
                        .orElse(QueueSpec.DEFAULT_IDEMPOTENT_METHODS);
        return new QueueSpec(
                fields.parsed("pool", PoolId::new),
                fields.bool("open", false),
                fields.integer("timeoutMs"),
                fields.integer("maxQueued", DEFAULT_MAX_QUEUED),
                methods);
    }

    private static Spec readWave(FieldReader fields) {
        return new WaveSpec(
                fields.list("pools", PoolId::new).orElse(List.of()),
                constant(fields, "action", WaveAction.class),
                fields.integer("maxParallel", DEFAULT_MAX_PARALLEL),
                fields.bool("paused", false),
                fields.bool("aborted", false),
                fields.number("failureThreshold", DEFAULT_FAILURE_THRESHOLD));
    }

    private static Spec readDeployment(FieldReader fields) {
        FieldReader weights = fields.object("weights");
        Spec spec =
                new DeploymentSpec(
                        weights.number("bufferCost"),
                        weights.number("rollOutTime"),
                        weights.number("moves"),
                        weights.number("share"));
        weights.finish();
        return spec;
    }

    private static String method(String text) {
        if (!text.matches("[A-Z]{1,20}")) {
            throw FieldReader.invalid("method", text, "expected an HTTP method in capitals");
        }
        return text;
    }

    private static <E extends Enum<E>> E constant(FieldReader fields, String field, Class<E> type) {
        return fields.parsed(
                field,
                text -> {
                    for (E value : type.getEnumConstants()) {
                        if (value.name().equals(text.toUpperCase(Locale.ROOT))) {
                            return value;
                        }
                    }
                    throw FieldReader.invalid(
                            field, text, "expected one of " + List.of(type.getEnumConstants()));
                });
    }

    /** Writes a spec, with all its fields. */
    public static ObjectNode write(Spec spec) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        if (spec instanceof TeamSpec team) {
            node.put("share", team.share()).put("upperLimit", team.upperLimit());
        } else if (spec instanceof KeySpec key) {
            node.put("team", key.team().value())
                    .put("secretHash", key.secretHash())
                    .put("withdrawn", key.withdrawn());
        } else if (spec instanceof PoolSpec pool) {
            node.put("minAvailable", pool.minAvailable()).put("spare", pool.spare());
        } else if (spec instanceof WorkerSpec worker) {
            writeWorker(worker, node);
        } else if (spec instanceof QueueSpec queue) {
            node.put("pool", queue.pool().value())
                    .put("open", queue.open())
                    .put("timeoutMs", queue.timeoutMs())
                    .put("maxQueued", queue.maxQueued());
            ArrayNode methods = node.putArray("idempotentMethods");
            new TreeSet<>(queue.idempotentMethods()).forEach(methods::add);
        } else if (spec instanceof WaveSpec wave) {
            writeWave(wave, node);
        } else if (spec instanceof DeploymentSpec deployment) {
            node.putObject("weights")
                    .put("bufferCost", deployment.bufferCost())
                    .put("rollOutTime", deployment.rollOutTime())
                    .put("moves", deployment.moves())
                    .put("share", deployment.share());
        } else if (spec instanceof AssignmentSpec assignment) {
            node.put("pool", assignment.pool().value())
                    .put("phase", assignment.phase().name())
                    .put("reason", assignment.reason());
        }
        return node;
    }

    private static void writeWorker(WorkerSpec worker, ObjectNode node) {
        node.put("pool", worker.pool().value())
                .put("address", worker.address())
                .put("zone", worker.zone().value())
                .put("rack", worker.rack().value())
                .put("slots", worker.slots())
                .put("connections", worker.connections())
                .put("cores", worker.cores())
                .put("memoryMib", worker.memoryMib())
                .put("accelerators", worker.accelerators())
                .put("drain", worker.drain());
    }

    private static void writeWave(WaveSpec wave, ObjectNode node) {
        ArrayNode pools = node.putArray("pools");
        wave.pools().forEach(pool -> pools.add(pool.value()));
        node.put("action", wave.action().name())
                .put("maxParallel", wave.maxParallel())
                .put("paused", wave.paused())
                .put("aborted", wave.aborted())
                .put("failureThreshold", wave.failureThreshold());
    }
}
