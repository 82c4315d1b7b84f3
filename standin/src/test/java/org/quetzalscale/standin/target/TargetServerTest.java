package org.quetzalscale.standin.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetServerTest {
    private static final int LARGE_BYTES = 3 << 20;
    private static final int ANSWER_MILLIS = 10_000;
    private static final int SILENT_MILLIS = 200;

    private final TargetServer target =
            new TargetServer(new TargetOptions("w1", "127.0.0.1", 0, 0, 1, 8));
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void start() {
        target.start();
    }

    @AfterEach
    void stop() {
        target.stop();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + target.port() + path))
                .header("X-Request-Id", "r1")
                .header("X-Team", "fleet");
    }

    private HttpResponse<byte[]> get(String path) throws Exception {
        return client.send(request(path).build(), BodyHandlers.ofByteArray());
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", target.port());
        socket.setSoTimeout(ANSWER_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Nested
    class Bodies {
        @Test
        void echoesALargeBodyUnchanged() throws Exception {
            byte[] body = new byte[LARGE_BYTES];
            new Random(1).nextBytes(body);
            HttpResponse<byte[]> response =
                    client.send(
                            request("/q/echo").POST(BodyPublishers.ofByteArray(body)).build(),
                            BodyHandlers.ofByteArray());
            assertThat(response.body()).isEqualTo(body);
        }

        @Test
        void generatesABodyOfTheRequestIdWithOrWithoutItsLength() throws Exception {
            assertThat(get("/x?size=7").body()).isEqualTo("r1\nr1\nr".getBytes());
            assertThat(get("/x?chunked=true&size=" + LARGE_BYTES).body()).hasSize(LARGE_BYTES);
        }

        @Test
        void closesInTheMiddleOfABody() throws Exception {
            target.behave(new TargetBehavior(false, false, true, 0));
            try (Socket socket = open()) {
                write(socket, "GET /x?size=1000 HTTP/1.1\r\nHost: t\r\n\r\n");
                String received =
                        new String(
                                socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(received).contains("content-length: 1000");
                assertThat(received.substring(received.indexOf("\r\n\r\n") + 4)).hasSize(500);
            }
        }
    }

    @Nested
    class Slots {
        @Test
        void refusesBeforeRunningWhenAllSlotsAreTaken() throws Exception {
            CompletableFuture<HttpResponse<byte[]>> slow =
                    client.sendAsync(request("/x?ms=500").build(), BodyHandlers.ofByteArray());
            while (target.running() == 0) {
                Thread.onSpinWait();
            }
            HttpResponse<byte[]> refusal = get("/x");
            assertThat(refusal.statusCode()).isEqualTo(503);
            assertThat(refusal.headers().firstValue("Retry-After")).isPresent();
            assertThat(slow.join().statusCode()).isEqualTo(200);
            assertThat(get("/x").statusCode()).isEqualTo(200);
            ExecutionLog.Report log = target.log().report(true);
            assertThat(log.total()).isEqualTo(2);
            assertThat(log.refused()).isEqualTo(1);
            assertThat(log.repeated()).containsEntry("r1", 2L);
            assertThat(log.byTeam()).containsEntry("fleet", 2L);
        }

        /** Guards against a slot that stays taken when its caller goes away in the upload. */
        @Test
        void freesTheSlotOfAnUploadThatBreaksOff() throws Exception {
            try (Socket socket = open()) {
                write(socket, "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nabc");
                while (target.running() == 0) {
                    Thread.onSpinWait();
                }
            }
            while (target.running() > 0) {
                Thread.onSpinWait();
            }
            assertThat(target.log().report(false).total()).isZero();
        }

        @Test
        void failsEveryRequestOnCommand() throws Exception {
            target.behave(new TargetBehavior(false, true, false, 0));
            assertThat(get("/x").statusCode()).isEqualTo(500);
            assertThat(target.log().report(false).total()).isEqualTo(1);
        }
    }

    @Nested
    class Shutdown {
        @Test
        void finishesWhatRunsAndRefusesTheRest() throws Exception {
            try (Socket socket = open()) {
                write(socket, "GET /x?ms=200&size=3 HTTP/1.1\r\nHost: t\r\n\r\n");
                while (target.running() == 0) {
                    Thread.onSpinWait();
                }
                target.behave(new TargetBehavior(true, false, false, 0));
                assertThat(get("/x").statusCode()).isEqualTo(503);
                String received =
                        new String(
                                socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertThat(received).contains("200 OK").contains("connection: close");
            }
        }
    }

    @Nested
    class Silence {
        @Test
        void keepsOpenConnectionsWithoutAWordWhileNewOnesWork() throws Exception {
            try (Socket socket = open()) {
                write(socket, "GET /x?size=0 HTTP/1.1\r\nHost: t\r\n\r\n");
                DataInputStream input = new DataInputStream(socket.getInputStream());
                assertThat(input.readByte()).isEqualTo((byte) 'H');
                input.skipBytes(input.available());
                target.silenceOpenConnections();
                socket.setSoTimeout(SILENT_MILLIS);
                write(socket, "GET /x HTTP/1.1\r\nHost: t\r\n\r\n");
                assertThatThrownBy(
                                () -> {
                                    while (input.read() >= 0) {
                                        // The rest of the first answer may still arrive.
                                    }
                                })
                        .isInstanceOf(SocketTimeoutException.class);
                assertThat(get("/x").statusCode()).isEqualTo(200);
            }
        }
    }
}
