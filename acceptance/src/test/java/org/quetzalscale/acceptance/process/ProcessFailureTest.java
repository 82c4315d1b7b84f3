package org.quetzalscale.acceptance.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quetzalscale.acceptance.process.ProcessDeployment.LIMIT;
import static org.quetzalscale.acceptance.support.Declarations.LARGE_TEAM;
import static org.quetzalscale.acceptance.support.Declarations.QUEUE;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalscale.acceptance.support.Caller;
import org.quetzalscale.acceptance.support.Eventually;

/** Failures between processes: a killed and a frozen daemon, and a platform that is down. */
class ProcessFailureTest {
    private static final int IN_FLIGHT = 6;
    private static final Duration OUTAGE = Duration.ofSeconds(6);
    private static final String DOWN =
            "{\"mode\":\"DOWN\",\"delayMillis\":0,\"calls\":0,\"match\":\"\",\"caller\":\"\"}";

    private ProcessDeployment deployment;
    private Caller caller;

    @BeforeEach
    void start(@TempDir Path directory) {
        deployment = new ProcessDeployment(directory);
        caller = deployment.createKey("large-key", LARGE_TEAM);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    /** Guards against a second run of a booking whose daemon died, by it or by its sibling. */
    @Test
    void aKilledDaemonRunsNonIdempotentRequestsAtMostOnce() {
        List<CompletableFuture<HttpResponse<String>>> cut = new ArrayList<>();
        for (int i = 0; i < IN_FLIGHT; i++) {
            cut.add(post(1, "/booking-" + i + "?ms=1500"));
        }
        Eventually.await(
                "all at targets", LIMIT, () -> deployment.executionsByPath().size() == IN_FLIGHT);
        deployment.daemon(1).kill();
        for (CompletableFuture<HttpResponse<String>> answer : cut) {
            assertThat(answer.handle((got, failure) -> failure).join()).as("failure").isNotNull();
        }
        Eventually.await(
                "the sibling serves", LIMIT, () -> post(2, "/after").join().statusCode() == 200);
        assertThat(deployment.executionsByPath())
                .hasSize(IN_FLIGHT + 1)
                .allSatisfy((path, count) -> assertThat(count).as(path).isEqualTo(1));
    }

    /**
     * Guards against a daemon that accepts a withdrawn key after a pause, when its own timers have
     * not run yet.
     */
    @Test
    void aFrozenDaemonAcceptsNoKeyThatWasWithdrawnMeanwhile() {
        Caller withdrawn = deployment.createKey("short-key", LARGE_TEAM);
        int port = deployment.callerPort(2);
        assertThat(withdrawn.call(port, "POST", QUEUE + "/before", "x").statusCode())
                .isEqualTo(200);
        deployment.daemon(2).pause();
        // Sent while it is frozen, so that they are the first events that it sees afterwards.
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < IN_FLIGHT; i++) {
            answers.add(withdrawn.send(port, "POST", QUEUE + "/frozen-" + i, "x"));
        }
        deployment.ctl("key", "revoke", "short-key", "--wait");
        Set<String> before = deployment.executionsByPath().keySet();
        deployment.daemon(2).resume();

        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertThat(Caller.errorCode(answer.join())).isIn("config_stale", "key_withdrawn");
        }
        Eventually.await("ready again", LIMIT, () -> deployment.isReady(2));
        assertThat(Caller.errorCode(withdrawn.call(port, "POST", QUEUE + "/late", "x")))
                .isEqualTo("key_withdrawn");
        assertThat(caller.call(port, "POST", QUEUE + "/other-key", "x").statusCode())
                .isEqualTo(200);
        Set<String> after = deployment.executionsByPath().keySet();
        assertThat(before).containsExactly("/before");
        assertThat(after).containsExactly("/before", "/other-key");
    }

    /** Guards against serving that depends on the table, and writes that are lost or doubled. */
    @Test
    void anOutageOfThePlatformStopsOnlyConfigurationWrites() {
        // An instance serves a team without the table only from units that it already holds.
        for (int i = 1; i <= 2; i++) {
            assertThat(post(i, "/before-" + i).join().statusCode()).isEqualTo(200);
        }
        deployment.setPlatformFaults(DOWN);
        long startNanos = System.nanoTime();
        int sent = 0;
        while (System.nanoTime() - startNanos < OUTAGE.toNanos()) {
            for (int i = 1; i <= 2; i++) {
                HttpResponse<String> answer = post(i, "/outage-" + sent++ + "?ms=20").join();
                assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
            }
        }
        HttpResponse<String> refused = createPool();
        assertThat(refused.statusCode()).as(refused.body()).isEqualTo(503);
        assertThat(Caller.errorCode(refused)).startsWith("store_");
        HttpResponse<String> keyed =
                caller.withHeader("Idempotency-Key", "one")
                        .call(deployment.callerPort(1), "POST", QUEUE + "/keyed", "x");
        assertThat(Caller.errorCode(keyed)).isEqualTo("store_unavailable");

        deployment.setPlatformFaults("");
        Eventually.await(
                "a write is accepted",
                LIMIT,
                () -> List.of(201, 202).contains(createPool().statusCode()));
        assertThat(deployment.executionsByPath())
                .hasSize(sent + 2)
                .allSatisfy((path, count) -> assertThat(count).as(path).isEqualTo(1));
    }

    private HttpResponse<String> createPool() {
        return Caller.withoutKey()
                .call(
                        deployment.operatorPort(1),
                        "POST",
                        "/v1/pools",
                        "{\"kind\":\"pools\",\"name\":\"mould\","
                                + "\"spec\":{\"minAvailable\":0,\"spare\":false}}");
    }

    private CompletableFuture<HttpResponse<String>> post(int daemon, String path) {
        return caller.send(deployment.callerPort(daemon), "POST", QUEUE + path, "sample");
    }
}
