package org.quetzalscale.acceptance.ctl;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.ctl.command.CtlRunner;
import org.quetzalscale.ctl.document.Document;
import org.quetzalscale.ctl.document.DocumentReader;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.operator.OperatorHooks;
import org.quetzalscale.daemon.operator.OperatorServer;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.json.SpecJson;

/** quetzalctl against the operator server of the daemon. */
class OperatorCommandsTest {
    private static final String TOKEN = "secret-token";
    private static final int CALL_TIMEOUT_MILLIS = 15_000;
    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir private Path directory;
    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final ConfigService config =
            new ConfigService(
                    new InstanceId("e1"),
                    new InMemoryTable(),
                    new InMemoryObjectStore(),
                    TimeSource.system());
    private final OperatorServer server = server("127.0.0.1", TOKEN);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void start() {
        config.start();
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        config.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private OperatorServer server(String address, String token) {
        InetSocketAddress bound = new InetSocketAddress(address, 0);
        return new OperatorServer(bound, group, token, config, OperatorHooks.NONE);
    }

    private void run(String line) {
        assertThat(runFor(line.split(" "))).as(err()).isEqualTo(ExitCode.DONE);
    }

    private ExitCode runFor(String... arguments) {
        out.reset();
        err.reset();
        Map<String, String> environment =
                Map.of(
                        "QUETZALSCALE_SERVER",
                        "127.0.0.1:" + server.port(),
                        "QUETZALSCALE_TOKEN",
                        TOKEN);
        return new CtlRunner(
                        environment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        Timing.system(),
                        CALL_TIMEOUT_MILLIS)
                .run(arguments);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private JsonNode json() {
        return Json.readTree(out.toByteArray());
    }

    @ParameterizedTest
    @ValueSource(strings = {"silokem", "hollis-crane"})
    void appliesAWholeDeploymentOnceAndThenChangesNothing(String deployment) {
        String apply = "apply -o json --wait -f " + EXAMPLES.resolve(deployment);
        run(apply);
        assertThat(json().path("inForce").asBoolean()).isTrue();
        assertThat(json().path("results")).hasSize(67);
        assertThat(json().path("results").findValuesAsText("action")).containsOnly("created");
        long revision = config.snapshot().revision().value();
        run(apply + " --prune");
        assertThat(json().path("results").findValuesAsText("action")).containsOnly("unchanged");
        assertThat(config.snapshot().revision().value()).isEqualTo(revision);
    }

    /** Guards against a forgotten file that takes a whole service out of operation. */
    @Test
    void prunesAPoolOnlyAfterItsBudgetIsLowered() throws IOException {
        run("apply -f " + EXAMPLES.resolve("silokem"));
        String prune = "apply --prune -f " + EXAMPLES.resolve("hollis-crane");
        assertThat(runFor(prune.split(" "))).isEqualTo(ExitCode.REFUSED);
        assertThat(err()).contains("workers/adviser-portal-", "minAvailable", "budget_exhausted");
        StringBuilder lowered = new StringBuilder();
        for (String pool : config.snapshot().all(Kind.POOLS).keySet()) {
            lowered.append("---\nkind: pools\nname: ").append(pool);
            lowered.append("\nspec: {minAvailable: 0}\n");
        }
        run("apply -f " + Files.writeString(directory.resolve("pools.yaml"), lowered));
        run(prune);
        assertThat(config.snapshot().all(Kind.WORKERS).keySet())
                .hasSize(48)
                .noneMatch(name -> name.startsWith("nitrate"));
        assertThat(config.snapshot().all(Kind.POOLS))
                .containsOnlyKeys(
                        "counter-desk",
                        "delivery-slots",
                        "lot-holds",
                        "pickup-tickets",
                        "tree-reservations",
                        "wreath-orders");
    }

    @Test
    void createsAKeyThatTheServerKnowsAndRevokesIt() {
        run("apply -f " + EXAMPLES.resolve("silokem").resolve("teams.yaml"));
        run("key create portal --team field-advisers -o json");
        KeySecret secret = KeySecret.parse(json().path("secret").asText()).orElseThrow();
        assertThat(secret.matches(key())).isTrue();
        run("key revoke portal --wait");
        assertThat(key().withdrawn()).isTrue();
        assertThat(runFor("key", "create", "other", "--team", "nobody"))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(err()).contains("spec.team", "nobody");
    }

    /** Guards against a trial without a token, as the settings permit, that no tool can use. */
    @Test
    void needsNoTokenWhereNoneIsSet() {
        OperatorServer open = server("127.0.0.1", "");
        open.start();
        assertThat(runFor("get", "teams", "--server", "127.0.0.1:" + open.port(), "--token", ""))
                .as(err())
                .isEqualTo(ExitCode.DONE);
        open.stop();
        assertThat(runFor("get", "teams", "--token", "")).isEqualTo(ExitCode.REFUSED);
        assertThatThrownBy(() -> server("0.0.0.0", "")).hasMessageContaining("operator token");
    }

    private KeySpec key() {
        return (KeySpec) config.snapshot().find(Kind.KEYS, "portal").orElseThrow().spec();
    }

    @Test
    void drainsWatchesAndShowsStatus() {
        run("apply -f " + EXAMPLES.resolve("silokem"));
        run("drain nitrate-1 --wait");
        run("get worker nitrate-1 -o json");
        assertThat(json().at("/spec/drain").asBoolean()).isTrue();
        assertThat(json().at("/status/phase").asText()).isNotEmpty();
        run("watch teams --events 6");
        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .hasSize(6)
                .allMatch(line -> line.startsWith("present teams/"));
        run("status -o json");
        assertThat(json().path("revision").asLong())
                .isEqualTo(config.snapshot().revision().value());
    }

    /** Guards against two mappings of specs that disagree about forms or defaults. */
    @ParameterizedTest
    @ValueSource(strings = {"silokem", "hollis-crane"})
    void readsAndWritesSpecsAsTheServerDoes(String deployment) {
        List<Document> documents = DocumentReader.read(List.of(EXAMPLES.resolve(deployment)));
        for (Document document : documents) {
            Kind kind = document.kind();
            Spec spec = SpecJson.read(kind, document.spec());
            assertThat(SpecJson.read(kind, SpecJson.write(spec)))
                    .as(document.place())
                    .isEqualTo(spec);
        }
    }
}
