package org.quetzalscale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalscale.core.id.OrganisationId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.schedule.LoadFigures;

/**
 * Figures of the load in the row of waiting jobs. They are below one field, whose name is no name
 * of a queue: an earlier release reads the numbers of the queues beside it, and its own rows have
 * no such field.
 */
final class LoadRow {
    private static final String FIGURES = "_load";
    private static final String JOB_MIB = "_jobMib";
    private static final double HUNDREDTHS = 100;

    private LoadRow() {}

    /** Adds the memory that the owner's jobs take, in MiB, unless it is little. */
    static void writeJobMib(long mib, ObjectNode row) {
        if (mib > 0) {
            row.put(JOB_MIB, mib);
        }
    }

    /** Reads the memory that the owner's jobs take, in MiB. */
    static long readJobMib(JsonNode row) {
        return row.path(JOB_MIB).asLong();
    }

    /** Adds the figures to a row. */
    static void write(LoadFigures figures, ObjectNode row) {
        ObjectNode node = row.putObject(FIGURES);
        node.put("at", figures.epochMillis());
        ObjectNode pools = node.putObject("pools");
        figures.pools()
                .forEach(
                        (id, load) -> {
                            ObjectNode pool = pools.putObject(id.value());
                            ObjectNode within = pool.putObject("within");
                            load.withinCoreSeconds()
                                    .forEach(
                                            (priority, coreSeconds) ->
                                                    within.put(
                                                            priority.toString(),
                                                            rounded(coreSeconds)));
                            pool.put("excess", rounded(load.excessCoreSeconds()));
                            pool.put("completed", rounded(load.completedPerSecond()));
                            pool.put("shrink", rounded(load.shrinkPerSecond()));
                            pool.put("free", rounded(load.freeCores()));
                        });
        ObjectNode tokens = node.putObject("tokens");
        figures.tokens().forEach((id, number) -> tokens.put(id.value(), rounded(number)));
    }

    /**
     * Reads the figures of a row; empty if it has none.
     *
     * @throws RuntimeException if a name or a number is invalid
     */
    static Optional<LoadFigures> read(JsonNode row) {
        JsonNode node = row.path(FIGURES);
        if (!node.isObject()) {
            return Optional.empty();
        }
        Map<PoolId, LoadFigures.PoolLoad> pools = new HashMap<>();
        node.path("pools")
                .fields()
                .forEachRemaining(
                        entry -> pools.put(new PoolId(entry.getKey()), readPool(entry.getValue())));
        Map<OrganisationId, Double> tokens = new HashMap<>();
        node.path("tokens")
                .fields()
                .forEachRemaining(
                        entry ->
                                tokens.put(
                                        new OrganisationId(entry.getKey()),
                                        entry.getValue().asDouble()));
        return Optional.of(new LoadFigures(node.path("at").asLong(), pools, tokens));
    }

    private static LoadFigures.PoolLoad readPool(JsonNode node) {
        TreeMap<Integer, Double> within = new TreeMap<>();
        node.path("within")
                .fields()
                .forEachRemaining(
                        entry ->
                                within.put(
                                        Integer.valueOf(entry.getKey()),
                                        entry.getValue().asDouble()));
        return new LoadFigures.PoolLoad(
                within,
                node.path("excess").asDouble(),
                node.path("completed").asDouble(),
                node.path("shrink").asDouble(),
                node.path("free").asDouble());
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }
}
