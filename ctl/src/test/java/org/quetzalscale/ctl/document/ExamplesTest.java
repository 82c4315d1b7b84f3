package org.quetzalscale.ctl.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.net.json.SpecJson;

class ExamplesTest {
    private static final int WORKERS_PER_RACK = 4;

    private static List<Document> documents(String deployment) {
        return DocumentReader.read(List.of(Path.of("..", "examples", deployment)));
    }

    private static <T extends Spec> Map<String, T> specs(
            String deployment, Kind kind, Class<T> type) {
        Map<String, T> specs = new TreeMap<>();
        for (Document document : documents(deployment)) {
            if (document.kind() == kind) {
                specs.put(document.name(), type.cast(SpecJson.read(kind, document.spec())));
            }
        }
        return specs;
    }

    private static List<WorkerSpec> workers(String deployment) {
        return List.copyOf(specs(deployment, Kind.WORKERS, WorkerSpec.class).values());
    }

    @ParameterizedTest
    @CsvSource({"silokem, 6, 6, 6, 48, 1", "hollis-crane, 6, 6, 6, 48, 1"})
    void declareTheWholeDeployment(
            String deployment, long teams, long pools, long queues, long workers, long weights) {
        Map<Kind, Long> counts =
                documents(deployment).stream()
                        .collect(Collectors.groupingBy(Document::kind, Collectors.counting()));
        assertThat(counts)
                .isEqualTo(
                        Map.of(
                                Kind.TEAMS, teams,
                                Kind.POOLS, pools,
                                Kind.QUEUES, queues,
                                Kind.WORKERS, workers,
                                Kind.DEPLOYMENTS, weights));
    }

    /** Guards against budgets that a pool can't hold, and against names without a declaration. */
    @ParameterizedTest
    @ValueSource(strings = {"silokem", "hollis-crane"})
    void namePoolsThatExistAndHaveWorkersToSpare(String deployment) {
        Map<String, PoolSpec> pools = specs(deployment, Kind.POOLS, PoolSpec.class);
        Map<String, Long> sizes =
                workers(deployment).stream()
                        .collect(
                                Collectors.groupingBy(
                                        worker -> worker.pool().value(), Collectors.counting()));
        assertThat(sizes.keySet()).isEqualTo(pools.keySet());
        pools.forEach(
                (name, pool) ->
                        assertThat(sizes.get(name)).as(name).isGreaterThan(pool.minAvailable()));
        assertThat(pools.values().stream().filter(PoolSpec::spare)).hasSize(1);
        assertThat(specs(deployment, Kind.QUEUES, QueueSpec.class).values())
                .allSatisfy(queue -> assertThat(pools).containsKey(queue.pool().value()));
    }

    @ParameterizedTest
    @CsvSource({"silokem, 4", "hollis-crane, 3"})
    void spreadEachPoolOverZonesAndRacks(String deployment, int zones) {
        Map<String, List<WorkerSpec>> racks =
                workers(deployment).stream()
                        .collect(Collectors.groupingBy(worker -> worker.rack().value()));
        racks.forEach(
                (rack, members) -> {
                    assertThat(members).as(rack).hasSize(WORKERS_PER_RACK);
                    assertThat(members)
                            .extracting(WorkerSpec::zone)
                            .containsOnly(members.get(0).zone());
                    assertThat(members).extracting(WorkerSpec::pool).doesNotHaveDuplicates();
                });
        Map<String, Set<String>> zonesOfPools =
                workers(deployment).stream()
                        .collect(
                                Collectors.groupingBy(
                                        worker -> worker.pool().value(),
                                        Collectors.mapping(
                                                worker -> worker.zone().value(),
                                                Collectors.toSet())));
        assertThat(zonesOfPools.values()).allSatisfy(used -> assertThat(used).hasSize(zones));
    }

    @Test
    void useAnAddressOnce() {
        List<WorkerSpec> all = new ArrayList<>(workers("silokem"));
        all.addAll(workers("hollis-crane"));
        assertThat(all).extracting(WorkerSpec::address).doesNotHaveDuplicates();
        assertThat(all).allSatisfy(w -> assertThat(w.address()).startsWith("127.0.0.1:"));
    }
}
