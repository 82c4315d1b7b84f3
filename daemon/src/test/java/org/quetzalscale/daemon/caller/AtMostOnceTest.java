package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.queue.AttemptOutcome;

/** Which requests are retried after a fault, and which error the caller gets for the others. */
@Timeout(30)
class AtMostOnceTest {
    private static final Map<String, ScriptedTarget.Script> FAULTS =
            Map.ofEntries(
                    Map.entry("closes at accept", c -> c.close()),
                    Map.entry("closes after head", c -> closeAfter(c.readHead(), c)),
                    Map.entry("closes after body", c -> closeAfter(c.readRequest(), c)),
                    Map.entry("half head", c -> answer(c, "HTTP/1.1 200 OK\r\nContent-Le")),
                    Map.entry("not http", c -> answer(c, "220 mail ready\r\n\r\n")),
                    Map.entry("no length", c -> answer(c, "HTTP/1.1 200 OK\r\n\r\nok")),
                    Map.entry(
                            "two lengths",
                            c ->
                                    answer(
                                            c,
                                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                                    + "Transfer-Encoding: chunked\r\n\r\nok")),
                    Map.entry("silent", c -> c.readRequest()),
                    Map.entry("full", c -> answer(c, ScriptedTarget.FULL)),
                    Map.entry(
                            "failing",
                            c -> answer(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")));

    private final CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);

    private static void closeAfter(String read, ScriptedTarget.Connection connection)
            throws IOException {
        connection.close();
    }

    private static void answer(ScriptedTarget.Connection connection, String answer)
            throws IOException {
        connection.readRequest();
        connection.write(answer);
        connection.close();
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource({
        "closes at accept, POST, 502, unknown, 0",
        "closes after head, POST, 502, unknown, 0",
        "closes after body, POST, 502, unknown, 0",
        "half head, POST, 502, unknown, 0",
        "not http, POST, 502, unknown, 0",
        "no length, POST, 502, unknown, 0",
        "two lengths, POST, 502, unknown, 0",
        "silent, POST, 502, unknown, 0",
        "failing, POST, 500, , 0",
        "full, POST, 200, , 1",
        "closes at accept, PUT, 200, , 1",
        "closes after head, PUT, 200, , 1",
        "closes after body, PUT, 200, , 1",
        "half head, PUT, 200, , 1",
        "not http, PUT, 200, , 1",
        "no length, PUT, 200, , 1",
        "two lengths, PUT, 200, , 1",
        "silent, PUT, 200, , 1",
        "failing, PUT, 200, , 1",
        "full, PUT, 200, , 1",
    })
    void afterAFaultOnlyRequestsSafeToRepeatAreRetried(
            String fault, String method, int status, String run, int secondRequests)
            throws Exception {
        ScriptedTarget first = fixture.target(FAULTS.get(fault));
        ScriptedTarget second = fixture.answering(ScriptedTarget.OK);
        String request =
                CallerFixture.post("/q/brief", "Quetzalscale-Timeout-Ms: 3000\r\n", "hold 4")
                        .replace("POST", method);
        RawCaller.Answer answer = fixture.call(request);
        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.run()).isEqualTo(run);
        assertThat(first.requests()).isLessThanOrEqualTo(1);
        assertThat(second.requests()).isEqualTo(secondRequests);
        if (secondRequests == 1) {
            assertThat(second.received()).endsWith("\r\n\r\nhold 4");
        }
        assertThat(fixture.admission.finished.poll(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(fixture.admission.unfinished).hasValue(0);
    }

    @Nested
    class NotRun {
        @ParameterizedTest
        @ValueSource(strings = {"GET", "POST"})
        void anUnreachableTargetIsReplacedByAnother(String method) throws Exception {
            fixture.admission.addresses.add(unusedAddress());
            ScriptedTarget second = fixture.answering(ScriptedTarget.OK);
            String request = CallerFixture.post("/q/assay", "", "x").replace("POST", method);
            assertThat(fixture.call(request).status()).isEqualTo(200);
            assertThat(second.requests()).isEqualTo(1);
            assertThat(fixture.admission.retriedAfter).containsExactly(AttemptOutcome.UNREACHABLE);
        }

        @Test
        void isSaidWhenNoTargetIsReachable() throws Exception {
            fixture.admission.addresses.add(unusedAddress());
            RawCaller.Answer answer = fixture.call(CallerFixture.post("/q/assay", "", "x"));
            assertThat(answer.body()).contains("target_unreachable");
            assertThat(answer.run()).isEqualTo("not-run");
        }

        @Test
        void isSaidWhenEachTargetRefusesAndTheIntentIsWithdrawn() throws Exception {
            fixture.answering(ScriptedTarget.FULL);
            fixture.answering(ScriptedTarget.FULL);
            RawCaller.Answer answer =
                    fixture.call(CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "x"));
            assertThat(answer.body()).contains("no_worker_available");
            assertThat(answer.run()).isEqualTo("not-run");
            assertThat(fixture.intents.holds("k")).isFalse();
        }

        @Test
        void isNotSaidAfterAnEarlierAttemptThatMayHaveRun() throws Exception {
            fixture.target(FAULTS.get("closes after body"));
            fixture.admission.addresses.add(unusedAddress());
            RawCaller.Answer answer = fixture.call(CallerFixture.get("/q/assay"));
            assertThat(answer.body()).contains("outcome_unknown");
            assertThat(answer.run()).isEqualTo("unknown");
        }
    }

    @Nested
    class LargeBodies {
        @ParameterizedTest
        @CsvSource({"closes after head, PUT, unknown", "full, POST, not-run"})
        void thatWereStreamedAreNotSentAgain(String fault, String method, String run)
                throws Exception {
            fixture.target(FAULTS.get(fault));
            ScriptedTarget second = fixture.answering(ScriptedTarget.OK);
            String body = "x".repeat(100_000);
            String request = CallerFixture.post("/q/assay", "", body).replace("POST", method);
            assertThat(fixture.call(request).run()).isEqualTo(run);
            assertThat(second.received()).isEmpty();
        }

        @Test
        void areAnsweredWholeBeforeTheirEnd() throws Exception {
            ScriptedTarget target =
                    fixture.target(
                            connection -> {
                                connection.readHead();
                                connection.write(
                                        "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno");
                            });
            String request = CallerFixture.post("/q/assay", "", "x".repeat(1 << 20));
            try (RawCaller caller = fixture.caller()) {
                caller.send(request.substring(0, 100_000));
                RawCaller.Answer answer = caller.read();
                assertThat(answer.status()).isEqualTo(413);
                assertThat(answer.body()).isEqualTo("no");
                assertThat(answer.headers()).containsEntry("connection", "close");
            }
            assertThat(target.requests()).isEqualTo(1);
        }
    }

    @Nested
    class Keyed {
        private final String request =
                CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "ticket");

        @Test
        void aRetryGetsTheRecordedAnswerAndRunsNothing() throws Exception {
            ScriptedTarget target =
                    fixture.answering(
                            "HTTP/1.1 201 Created\r\nX-Ticket: 7\r\nContent-Length: 2\r\n\r\nok");
            RawCaller.Answer first = fixture.call(request);
            fixture.intents.outcome("k").get(5, TimeUnit.SECONDS);
            RawCaller.Answer second = fixture.call(request);
            assertThat(second.status()).isEqualTo(first.status()).isEqualTo(201);
            assertThat(second.headers()).containsEntry("x-ticket", "7");
            assertThat(second.body()).isEqualTo("ok");
            assertThat(target.requests()).isEqualTo(1);
            assertThat(fixture.call(request.replace("ticket", "ticker")).body())
                    .contains("idempotency_key_reused");
        }

        @ParameterizedTest
        @ValueSource(strings = {"closes after body", "silent", "half head"})
        void anUnknownOutcomeStaysUnknownToRetries(String fault) throws Exception {
            ScriptedTarget target = fixture.target(FAULTS.get(fault));
            String brief = request.replace("assay", "brief");
            for (int i = 0; i < 2; i++) {
                assertThat(fixture.call(brief).run()).isEqualTo("unknown");
            }
            assertThat(target.requests()).isEqualTo(1);
        }

        @Test
        void theOutcomeIsRecordedIfTheCallerDisconnects() throws Exception {
            CountDownLatch callerDisconnected = new CountDownLatch(1);
            fixture.target(
                    connection -> {
                        connection.readRequest();
                        try {
                            callerDisconnected.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                        connection.write(ScriptedTarget.OK);
                    });
            try (RawCaller caller = fixture.caller()) {
                caller.send(request);
                while (fixture.admission.unfinished.get() == 0) {
                    Thread.onSpinWait();
                }
            }
            // The request stays admitted while the target works, although its caller disconnected.
            assertThat(fixture.admission.finished.poll(100, TimeUnit.MILLISECONDS)).isNull();
            callerDisconnected.countDown();
            assertThat(fixture.intents.outcome("k").get(5, TimeUnit.SECONDS).status())
                    .isEqualTo(200);
            assertThat(fixture.admission.unfinished).hasValue(0);
        }
    }
}
