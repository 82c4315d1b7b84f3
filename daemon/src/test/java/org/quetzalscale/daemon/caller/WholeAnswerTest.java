package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each caller gets the complete answer to its own request, or detects the truncation. */
@Timeout(30)
class WholeAnswerTest {
    private final CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 10\r\n\r\nabc",
                "Content-Length: 10\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n0\r\n\r\n",
            })
    void aTruncatedAnswerIsDetectedAndNotRecorded(String cut) throws Exception {
        fixture.target(
                connection -> {
                    connection.readRequest();
                    connection.write("HTTP/1.1 200 OK\r\n" + cut);
                    connection.close();
                });
        ScriptedTarget second = fixture.answering(ScriptedTarget.OK);
        String request = CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "x");
        try (RawCaller caller = fixture.caller()) {
            assertThat(caller.send(request).read().whole()).isFalse();
            assertThat(caller.isAtEnd()).isTrue();
        }
        assertThat(fixture.ended.poll(5, TimeUnit.SECONDS).cut()).isTrue();
        assertThat(fixture.call(request).run()).isEqualTo("unknown");
        assertThat(second.received()).isEmpty();
    }

    @Test
    void aTruncatedBodyNeverLooksCompleteToTheTarget() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedTarget target =
                fixture.target(
                        connection -> {
                            try {
                                connection.readRequest();
                            } finally {
                                ended.countDown();
                            }
                        });
        try (RawCaller caller = fixture.caller()) {
            caller.send(
                    "POST /q/assay HTTP/1.1\r\nHost: x\r\n"
                            + CallerFixture.KEY
                            + "Transfer-Encoding: chunked\r\n\r\n11170\r\n"
                            + "x".repeat(70_000)
                            + "\r\n");
            while (target.requests() == 0) {
                Thread.onSpinWait();
            }
        }
        assertThat(ended.await(5, TimeUnit.SECONDS)).isTrue();
        assertThat(target.received()).contains("chunked").doesNotContain("0\r\n\r\n");
    }

    @Nested
    class Connections {
        private final AtomicInteger answered = new AtomicInteger();

        private ScriptedTarget numbering(String headers, String afterwards) {
            return fixture.target(
                    connection -> {
                        while (connection.readRequest() != null) {
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                                            + headers
                                            + "\r\n"
                                            + answered.incrementAndGet()
                                            + afterwards);
                        }
                    });
        }

        private void callTwice() throws IOException {
            for (int i = 1; i <= 2; i++) {
                assertThat(fixture.call(CallerFixture.post("/q/assay", "", "x")).body())
                        .isEqualTo(Integer.toString(i));
            }
        }

        @Test
        void areUsedAgainWhileFresh() throws Exception {
            ScriptedTarget target = numbering("", "");
            callTwice();
            assertThat(target.connections()).isEqualTo(1);
        }

        @Test
        void areNotUsedAfterTwoSecondsIdle() throws Exception {
            ScriptedTarget target = numbering("", "");
            fixture.call(CallerFixture.get("/q/assay"));
            fixture.clockOffsetMillis.addAndGet(2_001);
            assertThat(fixture.call(CallerFixture.post("/q/assay", "", "x")).body()).isEqualTo("2");
            assertThat(target.connections()).isEqualTo(2);
        }

        @Test
        void areNotUsedAfterTheTargetAnnouncedTheirEnd() throws Exception {
            ScriptedTarget target = numbering("Connection: close\r\n", "");
            callTwice();
            assertThat(target.connections()).isEqualTo(2);
            assertThat(fixture.closing).containsOnly(target.address());
        }

        @Test
        void areClosedAfterARefusal() throws Exception {
            ScriptedTarget target = fixture.answering(ScriptedTarget.FULL);
            assertThat(fixture.call(CallerFixture.get("/q/assay")).run()).isEqualTo("not-run");
            while (fixture.targets.openConnections(target.address()) > 0) {
                Thread.onSpinWait();
            }
            assertThat(fixture.call(CallerFixture.get("/q/assay")).run()).isEqualTo("not-run");
            assertThat(target.connections()).isEqualTo(2);
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX", "X", "HTTP/1.1 2"})
        void withBytesAfterTheAnswerAreNotUsedAgain(String surplus) throws Exception {
            ScriptedTarget target = numbering("", surplus);
            callTwice();
            assertThat(target.connections()).isEqualTo(2);
        }

        @Test
        void ofATimedOutRequestBringNobodyItsLateAnswer() throws Exception {
            CountDownLatch timedOut = new CountDownLatch(1);
            ScriptedTarget target =
                    fixture.target(
                            connection -> {
                                if (answered.getAndIncrement() == 0) {
                                    connection.readRequest();
                                    WholeAnswerTest.await(timedOut);
                                    connection.write(
                                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                                    return;
                                }
                                connection.readRequest();
                                connection.write(ScriptedTarget.OK);
                            });
            try (RawCaller caller = fixture.caller()) {
                String request = CallerFixture.post("/q/brief", "", "x");
                assertThat(caller.send(request).read().run()).isEqualTo("unknown");
                timedOut.countDown();
                assertThat(caller.send(request).read().body()).isEqualTo("ok");
            }
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    @Nested
    class BackPressure {
        // Room for the socket buffers and write buffers of both connections; the bodies have 64
        // MiB.
        private static final long MAX_IN_FLIGHT_BYTES = 24 << 20;
        private static final int PARTS = 1024;
        private final byte[] part = new byte[64 << 10];

        @Test
        void ofASlowReaderStopsTheTarget() throws Exception {
            ScriptedTarget target =
                    fixture.target(
                            connection -> {
                                connection.readRequest();
                                connection.write(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
                                for (int i = 0; i < PARTS; i++) {
                                    connection.write(part);
                                }
                            });
            try (RawCaller caller = fixture.caller()) {
                caller.send(
                        CallerFixture.get("/q/assay")
                                .replace("\r\n\r\n", "\r\nQuetzalscale-Timeout-Ms: 1000\r\n\r\n"));
                RequestRecord record = fixture.ended.poll(5, TimeUnit.SECONDS);
                assertThat(record.cut()).isTrue();
                assertThat(target.writtenBytes()).isLessThan(MAX_IN_FLIGHT_BYTES);
                assertThat(caller.read().whole()).isFalse();
            }
        }

        @Test
        void ofASlowTargetStopsTheCaller() throws Exception {
            CountDownLatch over = new CountDownLatch(1);
            fixture.target(connection -> WholeAnswerTest.await(over));
            AtomicInteger partsSent = new AtomicInteger();
            try (RawCaller caller = fixture.caller()) {
                caller.send(
                        "POST /q/assay HTTP/1.1\r\nHost: x\r\nQuetzalscale-Timeout-Ms: 1000\r\n"
                                + CallerFixture.KEY
                                + "Content-Length: 67108864\r\n\r\n");
                ScriptedTarget.daemon(() -> sendParts(caller, partsSent));
                assertThat(caller.read().run()).isEqualTo("unknown");
                assertThat((long) partsSent.get() * part.length).isLessThan(MAX_IN_FLIGHT_BYTES);
            } finally {
                over.countDown();
            }
        }

        private void sendParts(RawCaller caller, AtomicInteger sent) {
            try {
                for (int i = 0; i < PARTS; i++) {
                    caller.send(new String(part, java.nio.charset.StandardCharsets.ISO_8859_1));
                    sent.incrementAndGet();
                }
            } catch (IOException e) {
                // The server closed the connection.
            }
        }
    }
}
