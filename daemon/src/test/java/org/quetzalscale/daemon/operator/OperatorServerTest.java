package org.quetzalscale.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.net.EventLoops;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.http.JsonHttpClient;
import org.quetzalscale.net.http.LineStream;
import org.quetzalscale.net.json.Json;

class OperatorServerTest {
    private static final int TIMEOUT_MILLIS = 15_000;
    private static final String TEAM =
            "{\"name\":\"team-a\",\"spec\":{\"share\":2,\"upperLimit\":16}}";
    private static final String POOL = "{\"name\":\"lab\",\"spec\":{\"minAvailable\":0}}";
    private static final String WORKER =
            "{\"name\":\"w1\",\"spec\":{\"pool\":\"lab\",\"address\":\"10.0.0.1:80\","
                    + "\"zone\":\"z1\",\"rack\":\"r1\",\"cores\":64,\"memoryMib\":1024}}";

    private final EventLoopGroup group = EventLoops.create(2, "test");
    private final InMemoryTable table = new InMemoryTable();
    private final ConfigService config =
            new ConfigService(
                    new InstanceId("e1"), table, new InMemoryObjectStore(), TimeSource.system());
    private final OperatorServer server =
            new OperatorServer(
                    new InetSocketAddress("127.0.0.1", 0),
                    group,
                    "secret-token",
                    config,
                    OperatorHooks.NONE);
    private JsonHttpClient client;

    @BeforeEach
    void start() {
        config.start();
        server.start();
        client =
                new JsonHttpClient(
                        new InetSocketAddress("127.0.0.1", server.port()), group, TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() {
        client.stop();
        server.stop();
        config.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private CompletableFuture<HttpReply> send(HttpMethod method, String path, String body) {
        return client.send(call(method, path, Map.of(), body, "secret-token"))
                .toCompletableFuture();
    }

    private static HttpCall call(
            HttpMethod method,
            String path,
            Map<String, List<String>> query,
            String body,
            String token) {
        return new HttpCall(
                method,
                path,
                query,
                Map.of("authorization", "Bearer " + token),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private JsonNode expect(int status, HttpMethod method, String path, String body) {
        HttpReply reply = send(method, path, body).join();
        assertThat(reply.status()).as(new String(reply.body())).isEqualTo(status);
        return Json.readTree(reply.body());
    }

    private String row(String key) {
        Optional<Row> row = table.read(new RowKey(key)).toCompletableFuture().join();
        return row.map(Row::value).orElse(null);
    }

    @Nested
    class Resources {
        @Test
        void createsReadsReplacesListsAndDeletes() {
            JsonNode created = expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            assertThat(created.path("inForce").booleanValue()).isTrue();
            assertThat(created.path("resourceVersion").longValue()).isEqualTo(1);
            assertThat(row("limit/team-a")).contains("\"limit\":16");
            String changed = "{\"resourceVersion\":1,\"spec\":{\"share\":2,\"upperLimit\":9}}";
            expect(200, HttpMethod.PUT, "/v1/teams/team-a", changed);
            assertThat(row("limit/team-a")).contains("\"limit\":9");
            assertThat(
                            expect(200, HttpMethod.GET, "/v1/teams/team-a", "")
                                    .at("/spec/upperLimit")
                                    .intValue())
                    .isEqualTo(9);
            assertThat(expect(200, HttpMethod.GET, "/v1/teams", "").path("items")).hasSize(1);
            expect(200, HttpMethod.DELETE, "/v1/teams/team-a", "");
            expect(404, HttpMethod.GET, "/v1/teams/team-a", "");
            assertThat(row("config/revision")).isEqualTo("3");
        }

        @Test
        void createsTheAssignmentOfAWorkerWithIt() {
            expect(201, HttpMethod.POST, "/v1/pools", POOL);
            JsonNode worker = expect(201, HttpMethod.POST, "/v1/workers", WORKER);
            assertThat(worker.at("/status/phase").textValue()).isEqualTo("ACTIVE");
            assertThat(row("resource/assignments/w1")).contains("\"pool\":\"lab\"");
            JsonNode refusal = expect(409, HttpMethod.DELETE, "/v1/pools/lab", "");
            assertThat(refusal.at("/error/message").textValue()).contains("workers/w1");
            expect(200, HttpMethod.DELETE, "/v1/workers/w1", "");
            assertThat(row("resource/assignments/w1")).isNull();
        }

        // If operators replace the same version at once, one succeeds and the others get an error.
        @Test
        void letsOneOfRacingOperatorsWin() {
            expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            String changed = "{\"resourceVersion\":1,\"spec\":{\"share\":2,\"upperLimit\":9}}";
            List<CompletableFuture<HttpReply>> replies =
                    IntStream.range(0, 8)
                            .mapToObj(i -> send(HttpMethod.PUT, "/v1/teams/team-a", changed))
                            .toList();
            assertThat(replies.stream().map(reply -> reply.join().status()))
                    .containsOnlyOnce(200)
                    .containsOnly(200, 409);
        }

        @Test
        void showsTheSecretOfAKeyOnce() {
            expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            String key = "{\"name\":\"key-1\",\"spec\":{\"team\":\"team-a\"}}";
            JsonNode created = expect(201, HttpMethod.POST, "/v1/keys", key);
            KeySecret secret = KeySecret.parse(created.path("secret").textValue()).orElseThrow();
            assertThat(secret.hash()).isEqualTo(created.at("/spec/secretHash").textValue());
            JsonNode read = expect(200, HttpMethod.GET, "/v1/keys/key-1", "");
            assertThat(read.has("secret")).isFalse();
            assertThat(row("resource/keys/key-1") + row("change/2"))
                    .doesNotContain(secret.reveal().substring("qk_key-1_".length()));
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "teams|{'name':'a','spec':{'share':1,'upperLimit':1,'x':7}}|spec.x|7",
                    "teams|{'name':'a','spec':{'share':'one','upperLimit':1}}|spec.share|one",
                    "teams|{'name':'a','spec':{'share':1}}|spec.upperLimit|missing",
                    "teams|{'name':'a','spec':{'share':1,'upperLimit':-4}}|spec.upperLimit|-4",
                    "teams|{'name':'a','spec':{'share':1,'upperLimit':1.5}}|spec.upperLimit|1.5",
                    "teams|{'name':'A_b','spec':{'share':1,'upperLimit':1}}|name|A_b",
                    "teams|{'name':'a'}|spec|missing",
                    "teams|{'name':'a','kind':'pools','spec':{}}|kind|pools",
                    "keys|{'name':'k','spec':{'team':'none'}}|spec.team|none",
                    "queues|{'name':'q','spec':{'pool':'none','timeoutMs':5}}|spec.pool|none",
                    "waves|{'name':'w','spec':{'action':'burn'}}|spec.action|burn",
                })
        void namesTheFieldAndItsValue(String kind, String body, String field, String value) {
            JsonNode error =
                    expect(422, HttpMethod.POST, "/v1/" + kind, body.replace('\'', '"'))
                            .path("error");
            assertThat(error.path("field").textValue()).isEqualTo(field);
            assertThat(error.path("message").textValue()).contains(value);
            assertThat(row("config/revision")).isNull();
        }
    }

    @Nested
    class Revisions {
        @Test
        void tellWhichInstancesArePending() {
            expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            assertThat(
                            expect(200, HttpMethod.GET, "/v1/revisions/1", "")
                                    .path("inForce")
                                    .booleanValue())
                    .isTrue();
            expect(404, HttpMethod.GET, "/v1/revisions/2", "");
            config.list(List.of(silentInstance()));
            JsonNode revision = expect(200, HttpMethod.GET, "/v1/revisions/1", "");
            assertThat(revision.path("inForce").booleanValue()).isFalse();
            assertThat(revision.path("pending").get(0).textValue()).isEqualTo("e9");
        }

        // The response comes after 10 s even if an instance does not confirm the change.
        @Test
        void areAnsweredAsAcceptedWhilePending() {
            config.list(List.of(silentInstance()));
            JsonNode accepted = expect(202, HttpMethod.POST, "/v1/teams", TEAM);
            assertThat(accepted.path("inForce").booleanValue()).isFalse();
            assertThat(accepted.path("pending").get(0).textValue()).isEqualTo("e9");
            expect(200, HttpMethod.GET, "/v1/teams/team-a", "");
        }

        private Member silentInstance() {
            return new Member(
                    "e9", MemberRole.ENTRY, new ZoneId("z1"), "127.0.0.1:1", MemberState.LIVE);
        }
    }

    @Nested
    class Access {
        @Test
        void refusesAWrongToken() {
            HttpCall call = call(HttpMethod.GET, "/v1/teams", Map.of(), "", "secret-tokem");
            assertThat(client.send(call).toCompletableFuture().join().status()).isEqualTo(401);
        }

        @Test
        void answersProbesWithoutAToken() {
            HttpCall call = call(HttpMethod.GET, "/healthz", Map.of(), "", "none");
            assertThat(client.send(call).toCompletableFuture().join().status()).isEqualTo(200);
        }
    }

    @Nested
    class Watching {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

        private LineStream watch(long from) {
            HttpCall call =
                    call(
                            HttpMethod.GET,
                            "/v1/teams",
                            Map.of("watch", List.of("true"), "from", List.of("" + from)),
                            "",
                            "secret-token");
            return client.stream(call, TIMEOUT_MILLIS, lines::add);
        }

        private JsonNode next(String type) throws InterruptedException {
            while (true) {
                String line = lines.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertThat(line).isNotNull();
                JsonNode node = Json.readTree(line.getBytes(StandardCharsets.UTF_8));
                if (node.path("type").textValue().equals(type)) {
                    return node;
                }
            }
        }

        @Test
        void sendsOlderAndNewChangesAndBookmarks() throws InterruptedException {
            expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            LineStream stream = watch(0);
            assertThat(next("put").path("revision").longValue()).isEqualTo(1);
            assertThat(next("bookmark").path("revision").longValue()).isEqualTo(1);
            expect(200, HttpMethod.DELETE, "/v1/teams/team-a", "");
            assertThat(next("delete").path("revision").longValue()).isEqualTo(2);
            assertThat(next("bookmark").path("revision").longValue()).isEqualTo(2);
            stream.close();
        }

        @Test
        void refusesARevisionWhoseChangesAreGone() {
            expect(201, HttpMethod.POST, "/v1/teams", TEAM);
            table.commit(
                            new Transaction(
                                    List.of(), List.of(Mutation.delete(new RowKey("change/1")))))
                    .toCompletableFuture()
                    .join();
            ConfigService later =
                    new ConfigService(
                            new InstanceId("e2"),
                            table,
                            new InMemoryObjectStore(),
                            TimeSource.system());
            OperatorServer second =
                    new OperatorServer(
                            new InetSocketAddress("127.0.0.1", 0),
                            group,
                            "secret-token",
                            later,
                            OperatorHooks.NONE);
            CompletableFuture<ConfigSnapshot> loaded = new CompletableFuture<>();
            later.addListener(loaded::complete);
            later.start();
            second.start();
            loaded.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
            client.stop();
            client =
                    new JsonHttpClient(
                            new InetSocketAddress("127.0.0.1", second.port()),
                            group,
                            TIMEOUT_MILLIS);
            assertThatThrownBy(() -> watch(0).ended().toCompletableFuture().join())
                    .hasMessageContaining("revision_too_old");
            second.stop();
            later.stop();
        }
    }
}
