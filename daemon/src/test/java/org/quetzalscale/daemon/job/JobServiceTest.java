package org.quetzalscale.daemon.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalscale.core.billing.LedgerEntry;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.fleet.InMemoryTaskRunner;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.resource.WorkerSpec;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

class JobServiceTest {
    private static final TeamId TEAM = new TeamId("orchard");

    private final InMemoryTable table = new InMemoryTable();
    private final InMemoryTaskRunner runner = new InMemoryTaskRunner(TimeSource.system(), 0);

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private JobService service(String instance) {
        return new JobService(table, runner, config(), new InstanceId(instance));
    }

    private static ConfigSource config() {
        SortedMap<String, Versioned> workers = new TreeMap<>();
        for (String name : List.of("w1", "w2")) {
            WorkerSpec spec =
                    new WorkerSpec(
                            new PoolId("lab"),
                            "10.0.0.1:80",
                            new ZoneId("z1"),
                            new RackId("r1"),
                            8,
                            64,
                            32,
                            131_072,
                            0,
                            false);
            workers.put(name, new Versioned(Revision.NONE, spec));
        }
        SortedMap<String, Versioned> teams = new TreeMap<>();
        teams.put(TEAM.value(), new Versioned(Revision.NONE, new TeamSpec(1, 8)));
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        resources.put(Kind.WORKERS, workers);
        resources.put(Kind.TEAMS, teams);
        ConfigSnapshot snapshot = ConfigSnapshot.of(Revision.NONE, resources);
        return new ConfigSource() {
            @Override
            public ConfigSnapshot snapshot() {
                return snapshot;
            }

            @Override
            public boolean isValid() {
                return true;
            }
        };
    }

    private static String submit(JobHandlers handlers, String command) {
        byte[] body = ("{\"command\":\"" + command + "\"}").getBytes(StandardCharsets.UTF_8);
        HttpReply reply = join(handlers.submit(TEAM, body));
        return Json.readTree(reply.body()).get("id").textValue();
    }

    private static String waitForEnd(JobHandlers handlers, String id) {
        HttpReply reply = join(handlers.find(TEAM, id, Optional.of("20000")));
        return Json.readTree(reply.body()).get("state").textValue();
    }

    @Nested
    class Service {
        @Test
        @Timeout(value = 60, unit = TimeUnit.SECONDS)
        void aJobRunsAndIsBilledOnceWithTwoInstances() {
            JobService first = service("i1");
            JobService second = service("i2");
            first.start();
            second.start();
            try {
                String id = submit(first.handlers(), "run 300ms");
                assertThat(waitForEnd(second.handlers(), id)).isEqualTo("SUCCEEDED");
                assertThat(join(table.scan(LedgerEntry.PREFIX))).hasSize(1);
            } finally {
                first.stop();
                second.stop();
            }
        }

        /** Guards against a stop after which no instance schedules the running jobs. */
        @Test
        @Timeout(value = 60, unit = TimeUnit.SECONDS)
        void anotherInstanceFinishesTheJobsOfAStoppedOne() {
            JobService first = service("i1");
            first.start();
            String id = submit(first.handlers(), "run 1500ms");
            first.stop();
            JobService second = service("i2");
            second.start();
            try {
                assertThat(waitForEnd(second.handlers(), id)).isEqualTo("SUCCEEDED");
                assertThat(join(table.scan(LedgerEntry.PREFIX))).hasSize(1);
            } finally {
                second.stop();
            }
        }
    }
}
