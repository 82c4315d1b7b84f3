package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.share.Resources;
import org.quetzalscale.core.table.RowCodec;
import org.quetzalscale.core.task.JobDefinition;
import org.quetzalscale.core.task.JobPhase;
import org.quetzalscale.core.task.JobProgress;
import org.quetzalscale.core.task.JobTerms;
import org.quetzalscale.core.task.Recurrence;
import org.quetzalscale.core.task.StepDefinition;
import org.quetzalscale.core.task.StepProgress;
import org.quetzalscale.net.json.Json;

/**
 * JSON codecs for the rows of jobs and of their progress. Fields that are 0, false or empty are
 * omitted.
 */
final class JobRowCodecs {
    static final RowCodec<JobDefinition> DEFINITION =
            new RowCodec<>() {
                @Override
                public String encode(JobDefinition value) {
                    return writeDefinition(value).toString();
                }

                @Override
                public JobDefinition decode(String text) {
                    return decodeChecked(() -> readDefinition(Json.read(text, JsonNode.class)));
                }
            };

    static final RowCodec<JobProgress> PROGRESS =
            new RowCodec<>() {
                @Override
                public String encode(JobProgress value) {
                    return writeProgress(value).toString();
                }

                @Override
                public JobProgress decode(String text) {
                    return decodeChecked(() -> readProgress(Json.read(text, JsonNode.class)));
                }
            };

    private JobRowCodecs() {}

    private static <T> T decodeChecked(Supplier<T> read) {
        try {
            return read.get();
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INVALID_FIELD, "cannot decode the row: " + e, e);
        }
    }

    private static ObjectNode writeDefinition(JobDefinition job) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", job.id().value());
        node.put("queue", job.queue().value());
        node.put("pool", job.pool().value());
        job.organisation().ifPresent(id -> node.put("organisation", id.value()));
        node.put("accepted", job.acceptedEpochMillis());
        node.put("spec", job.spec());
        ArrayNode steps = node.putArray("steps");
        job.steps().forEach(step -> writeStep(steps.addObject(), step));
        putPositive(node, "repeat", job.recurrence().count());
        putPositive(node, "startAt", job.recurrence().startAtEpochMillis());
        putPositive(node, "interval", job.recurrence().intervalMillis());
        job.terms().ifPresent(terms -> writeTerms(node.putObject("terms"), terms));
        return node;
    }

    private static void writeTerms(ObjectNode node, JobTerms terms) {
        node.put("priority", terms.priority());
        node.put("attempts", terms.maxAttempts());
        node.put("stretch", terms.stretch());
        putPositive(node, "target", terms.targetMillis());
        node.put("weight", terms.weight());
        node.put("rate", terms.rate());
        node.put("capCores", terms.cap().cores());
        node.put("capMemory", terms.cap().memoryMib());
        node.put("capAccelerators", terms.cap().accelerators());
    }

    private static Optional<JobTerms> readTerms(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        return Optional.of(
                new JobTerms(
                        node.path("priority").asInt(),
                        node.path("attempts").asInt(),
                        node.path("stretch").asDouble(),
                        node.path("target").asLong(),
                        node.path("weight").asDouble(),
                        node.path("rate").asDouble(),
                        new Resources(
                                node.path("capCores").asDouble(),
                                node.path("capMemory").asDouble(),
                                node.path("capAccelerators").asDouble(),
                                0)));
    }

    private static void writeStep(ObjectNode node, StepDefinition step) {
        node.put("count", step.count());
        node.put("cores", step.need().cores());
        node.put("memory", step.need().memoryMib());
        if (step.need().accelerators() > 0) {
            node.put("accelerators", step.need().accelerators());
        }
        putPositive(node, "estimate", step.estimateMillis());
        if (!step.after().isEmpty()) {
            ArrayNode after = node.putArray("after");
            step.after().forEach(after::add);
        }
        putTrue(node, "checkpointing", step.checkpointing());
        putTrue(node, "gang", step.gang());
        putTrue(node, "rackLocal", step.rackLocal());
        step.requiredLabel().ifPresent(label -> node.put("label", label));
        step.dataRack().ifPresent(rack -> node.put("rack", rack));
        putPositive(node, "maxPerWorker", step.maxPerWorker());
        putTrue(node, "lasting", step.lasting());
        putPositive(node, "target", step.targetMillis());
        putTrue(node, "filler", step.filler());
        putPositive(node, "maxUnavailable", step.maxUnavailable());
    }

    private static JobDefinition readDefinition(JsonNode node) {
        List<StepDefinition> steps = new ArrayList<>();
        node.path("steps").forEach(step -> steps.add(readStep(step)));
        return new JobDefinition(
                new JobId(node.path("id").asText()),
                new QueueId(node.path("queue").asText()),
                new PoolId(node.path("pool").asText()),
                optional(node, "organisation").map(OrganisationId::new),
                node.path("accepted").asLong(),
                node.path("spec").asText(),
                steps,
                new Recurrence(
                        node.path("repeat").asInt(),
                        node.path("startAt").asLong(),
                        node.path("interval").asLong()),
                readTerms(node.path("terms")));
    }

    private static StepDefinition readStep(JsonNode node) {
        List<Integer> after = new ArrayList<>();
        node.path("after").forEach(earlier -> after.add(earlier.asInt()));
        return new StepDefinition(
                node.path("count").asInt(),
                new Resources(
                        node.path("cores").asDouble(),
                        node.path("memory").asDouble(),
                        node.path("accelerators").asDouble(),
                        0),
                node.path("estimate").asLong(),
                after,
                node.path("checkpointing").asBoolean(),
                node.path("gang").asBoolean(),
                node.path("rackLocal").asBoolean(),
                optional(node, "label"),
                optional(node, "rack"),
                node.path("maxPerWorker").asInt(),
                node.path("lasting").asBoolean(),
                node.path("target").asLong(),
                node.path("filler").asBoolean(),
                node.path("maxUnavailable").asInt());
    }

    /**
     * Encodes the row of a job whose steps are in rows of their own. An earlier release cannot read
     * it, and holds the job instead of starting it from the beginning.
     */
    static String encodeWithoutSteps(JobProgress progress) {
        return writeJobProgress(progress).put("split", true).toString();
    }

    private static ObjectNode writeJobProgress(JobProgress progress) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", progress.job().value());
        node.put("phase", progress.phase().name());
        if (!progress.doneOccurrences().isEmpty()) {
            putBits(node, "doneOccurrences", progress.doneOccurrences());
        }
        return node;
    }

    private static ObjectNode writeProgress(JobProgress progress) {
        ObjectNode node = writeJobProgress(progress);
        ArrayNode steps = node.putArray("steps");
        for (StepProgress step : progress.steps()) {
            ObjectNode entry = steps.addObject();
            putPositive(entry, "occurrence", step.occurrence());
            putPositive(entry, "step", step.step());
            putBits(entry, "done", step.done());
            putRuns(entry, "failures", step.failures());
            putRuns(entry, "crashes", step.crashes());
            if (!step.checkpoints().isEmpty()) {
                ObjectNode checkpoints = entry.putObject("checkpoints");
                step.checkpoints()
                        .forEach((index, text) -> checkpoints.put(index.toString(), text));
            }
        }
        return node;
    }

    private static JobProgress readProgress(JsonNode node) {
        List<StepProgress> steps = new ArrayList<>();
        boolean split = node.path("split").asBoolean();
        for (JsonNode entry : split ? node.path("steps") : requiredList(node, "steps")) {
            Map<Integer, String> checkpoints = new HashMap<>();
            entry.path("checkpoints")
                    .fields()
                    .forEachRemaining(
                            e ->
                                    checkpoints.put(
                                            Integer.valueOf(e.getKey()), e.getValue().asText()));
            steps.add(
                    new StepProgress(
                            entry.path("occurrence").asInt(),
                            entry.path("step").asInt(),
                            readBits(requiredList(entry, "done")),
                            readRuns(entry.path("failures")),
                            readRuns(entry.path("crashes")),
                            checkpoints));
        }
        return new JobProgress(
                new JobId(node.path("id").asText()),
                JobPhase.valueOf(node.path("phase").asText()),
                readBits(node.path("doneOccurrences")),
                steps);
    }

    private static void putBits(ObjectNode node, String field, BitSet bits) {
        ArrayNode words = node.putArray(field);
        for (long word : bits.toLongArray()) {
            words.add(word);
        }
    }

    private static BitSet readBits(JsonNode words) {
        long[] bits = new long[words.size()];
        for (int i = 0; i < bits.length; i++) {
            bits[i] = words.get(i).asLong();
        }
        return BitSet.valueOf(bits);
    }

    private static JsonNode requiredList(JsonNode node, String field) {
        if (!node.path(field).isArray()) {
            throw new IllegalArgumentException(field + ": expected a list");
        }
        return node.path(field);
    }

    private static void putRuns(ObjectNode node, String field, Map<Integer, Set<Long>> runs) {
        if (!runs.isEmpty()) {
            ObjectNode byIndex = node.putObject(field);
            runs.forEach(
                    (index, numbers) ->
                            numbers.stream()
                                    .sorted()
                                    .forEach(byIndex.putArray(index.toString())::add));
        }
    }

    private static Map<Integer, Set<Long>> readRuns(JsonNode byIndex) {
        Map<Integer, Set<Long>> runs = new HashMap<>();
        byIndex.fields()
                .forEachRemaining(
                        entry -> {
                            Set<Long> numbers = new HashSet<>();
                            entry.getValue().forEach(number -> numbers.add(number.asLong()));
                            runs.put(Integer.valueOf(entry.getKey()), numbers);
                        });
        return runs;
    }

    private static Optional<String> optional(JsonNode node, String field) {
        return node.has(field) ? Optional.of(node.path(field).asText()) : Optional.empty();
    }

    private static void putPositive(ObjectNode node, String field, long value) {
        if (value > 0) {
            node.put(field, value);
        }
    }

    private static void putTrue(ObjectNode node, String field, boolean value) {
        if (value) {
            node.put(field, true);
        }
    }
}
