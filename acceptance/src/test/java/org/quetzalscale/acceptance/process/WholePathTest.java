package org.quetzalscale.acceptance.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quetzalscale.acceptance.process.ProcessDeployment.LIMIT;
import static org.quetzalscale.acceptance.support.Declarations.LARGE_TEAM;
import static org.quetzalscale.acceptance.support.Declarations.LONG_QUEUE;
import static org.quetzalscale.acceptance.support.Declarations.QUEUE;
import static org.quetzalscale.acceptance.support.Declarations.SMALL_TEAM;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalscale.acceptance.support.Caller;
import org.quetzalscale.acceptance.support.Eventually;

/**
 * The whole path through separate processes: declarations, requests and jobs, and then a planned
 * stop, in one deployment, since its start takes longer than each test.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class WholePathTest {
    private static final int STOP_SECONDS = 30;

    // More than the socket buffers on the way hold, so that the answer still runs at the stop.
    private static final int STREAM_BYTES = 64 << 20;

    private ProcessDeployment deployment;

    @BeforeAll
    void start(@TempDir Path directory) {
        deployment = new ProcessDeployment(directory);
    }

    @AfterAll
    void stop() {
        deployment.close();
    }

    /** Guards against a daemon that answers for one team or from its own port only. */
    @Test
    @Order(1)
    void requestsAndJobsOfTwoTeamsAreAnsweredByBothDaemons() {
        Map<String, Caller> callers =
                Map.of(
                        LARGE_TEAM, deployment.createKey("large-key", LARGE_TEAM),
                        SMALL_TEAM, deployment.createKey("small-key", SMALL_TEAM));
        callers.forEach(
                (team, caller) -> {
                    for (int i = 1; i <= 2; i++) {
                        HttpResponse<String> answer =
                                caller.call(
                                        deployment.callerPort(i), "POST", QUEUE + "/echo", team);
                        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
                        assertThat(answer.body()).isEqualTo(team);
                    }
                });
        HttpResponse<String> refused =
                Caller.withoutKey()
                        .call(deployment.callerPort(2), "POST", QUEUE + "/unkeyed", "sample");
        assertThat(Caller.errorCode(refused)).isEqualTo("key_missing");
        assertThat(refused.headers().firstValue("Quetzalscale-Run")).contains("not-run");
        assertThat(deployment.executionsByPath()).doesNotContainKey("/unkeyed");

        Caller submitter = callers.get(LARGE_TEAM);
        HttpResponse<String> submitted =
                submitter.call(
                        deployment.callerPort(2),
                        "POST",
                        "/v1/jobs",
                        "{\"command\":\"run 300ms\",\"pool\":\"nitrate\"}");
        assertThat(submitted.statusCode()).as(submitted.body()).isEqualTo(201);
        String id = Caller.read(submitted).get("id").asText();
        assertThat(
                        submitter
                                .json(deployment.callerPort(1), "/v1/jobs/" + id + "?waitMs=20000")
                                .get("state")
                                .asText())
                .isEqualTo("SUCCEEDED");
    }

    /**
     * Guards against a stop that cuts what runs, or that ends as if the process had failed. The
     * answers may take longer than the machine does, because a queue's time limit cuts them too.
     */
    @Test
    @Order(2)
    void aPlannedStopCutsNoRequestAndEndsWithZero() throws IOException {
        Caller caller = deployment.createKey("stop-key", LARGE_TEAM);
        int port = deployment.callerPort(1);
        CompletableFuture<HttpResponse<String>> slow =
                caller.send(port, "POST", LONG_QUEUE + "/slow?ms=2000&size=5000", "sample");
        HttpResponse<InputStream> streamed =
                caller.open(port, LONG_QUEUE + "/streamed?chunked=true&size=" + STREAM_BYTES);
        Eventually.await(
                "both requests at a target",
                LIMIT,
                () ->
                        deployment
                                .executionsByPath()
                                .keySet()
                                .containsAll(Set.of("/slow", "/streamed")));
        deployment.daemon(1).terminate();
        Eventually.await("not ready", LIMIT, () -> !deployment.isReady(1));

        assertThat(slow.join().body()).hasSize(5000);
        try (InputStream body = streamed.body()) {
            long bytes = body.transferTo(OutputStream.nullOutputStream());
            assertThat(bytes).isEqualTo(STREAM_BYTES);
        }
        assertThat(deployment.daemon(1).exitCode(STOP_SECONDS))
                .as(deployment.daemon(1).output())
                .isZero();
        assertThat(caller.call(deployment.callerPort(2), "POST", QUEUE + "/echo", "x").body())
                .isEqualTo("x");
        deployment.daemon(2).terminate();
        assertThat(deployment.daemon(2).exitCode(STOP_SECONDS)).isZero();
    }
}
