package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

class WorkerLifeTest {
    private static final String TASK = "5c0e7a21d94b36f8.0.0.0";

    @TempDir private Path folder;
    private final Scheduler scheduler = new Scheduler("test");
    private Timeline timeline;
    private RunRecord record;
    private WorkerLife worker;

    @BeforeEach
    void start() {
        timeline = new Timeline(folder.resolve("timeline.txt"));
        record = new RunRecord(timeline);
        worker = new WorkerLife("w-1", 1, record, timeline, scheduler);
    }

    @AfterEach
    void stop() {
        scheduler.stop();
        timeline.stop();
    }

    private HttpReply send(String path, String body) {
        Order order =
                new Order(
                        "node-1", path, Json.read(body.replace('\'', '"'), JsonNode.class), false);
        return worker.carryOut(order).toCompletableFuture().join();
    }

    private HttpReply startTask(int run, int deadline, int fence, int millis) {
        return send(
                "/v1/run-start",
                "{'task':'%s','runId':%d,'deadlineMs':%d,'fence':%d,'spec':'millis=%d'}"
                        .formatted(TASK, run, deadline, fence, millis));
    }

    private HttpReply hold(int acknowledged, int waitMillis) {
        return send(
                "/v1/hold",
                "{'fence':9,'ackCursor':%d,'waitMs':%d}".formatted(acknowledged, waitMillis));
    }

    private static String reason(HttpReply reply) {
        return Json.readTree(reply.body()).path("reason").asText();
    }

    private void awaitEnd() throws InterruptedException {
        for (int i = 0; i < 500 && !worker.isIdle(); i++) {
            Thread.sleep(5);
            worker.tick();
        }
        assertThat(worker.isIdle()).isTrue();
    }

    @Nested
    class Starts {
        @Test
        void areRefusedBelowTheHighestFence() {
            assertThat(startTask(1, 5_000, 5, 5_000).status()).isEqualTo(200);
            assertThat(reason(startTask(2, 5_000, 4, 5_000))).isEqualTo("fence");
        }

        @Test
        void ofARunThatIsPresentSucceedAgain() {
            startTask(1, 5_000, 5, 5_000);
            assertThat(startTask(1, 5_000, 5, 5_000).status()).isEqualTo(200);
            assertThat(record.runs()).hasSize(1);
        }

        @Test
        void areRefusedAfterTheirDeadline() throws InterruptedException {
            Thread.sleep(5);
            assertThat(reason(startTask(1, 1, 5, 5_000))).isEqualTo("late");
        }

        @Test
        void areRefusedAfterAStopThatCameFirst() {
            send("/v1/run-stop", "{'task':'%s','runId':3,'fence':5}".formatted(TASK));
            assertThat(reason(startTask(3, 5_000, 5, 5_000))).isEqualTo("old");
            assertThat(startTask(4, 5_000, 5, 5_000).status()).isEqualTo(200);
        }
    }

    @Nested
    class Ends {
        @Test
        void areListedUntilTheyAreAcknowledged() throws InterruptedException {
            startTask(1, 5_000, 5, 20);
            awaitEnd();
            JsonNode listed = Json.readTree(hold(0, 0).body()).path("finished");
            assertThat(listed).hasSize(1);
            assertThat(listed.path(0).path(1).asText()).isEqualTo(TASK);
            assertThat(Json.readTree(hold(1, 0).body()).path("finished")).isEmpty();
            assertThat(record.runs()).singleElement().matches(Run::isEndNoted);
        }

        @Test
        void answerAHoldThatWaits() throws InterruptedException {
            startTask(1, 5_000, 5, 50);
            CompletableFuture<HttpReply> held = CompletableFuture.supplyAsync(() -> hold(0, 2_000));
            awaitEnd();
            assertThat(Json.readTree(held.join().body()).path("finished")).hasSize(1);
        }

        /** Only ends whose lease held until the acknowledgement count as taken note of. */
        @Test
        void afterWhichTheLeaseExpiresAreNotNoted() throws InterruptedException {
            startTask(1, 150, 5, 20);
            awaitEnd();
            Thread.sleep(200);
            worker.tick();
            hold(1, 0);
            assertThat(record.runs())
                    .singleElement()
                    .matches(run -> run.lapsed() && !run.isEndNoted() && run.isDone());
        }
    }

    @Nested
    class Leases {
        @Test
        void endAllRunsWhenTheyExpire() throws InterruptedException {
            startTask(1, 100, 5, 60_000);
            awaitEnd();
            assertThat(record.runs()).extracting(Run::how).isEqualTo(List.of("lapsed"));
        }

        @Test
        void endWithTheWorker() {
            startTask(1, 5_000, 5, 60_000);
            worker.stop();
            assertThat(record.runs()).extracting(Run::how).isEqualTo(List.of("gone"));
            assertThat(startTask(2, 5_000, 5, 60_000)).isSameAs(WireServer.RESET);
        }
    }
}
