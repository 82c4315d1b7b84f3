package org.quetzalscale.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.EventLoops;

class JsonHttpTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int SHORT_TIMEOUT_MILLIS = 300;

    private final EventLoopGroup group = EventLoops.create(2, "test");
    private JsonHttpServer server;
    private JsonHttpClient client;

    @BeforeEach
    void start() {
        server =
                new JsonHttpServer(
                        new InetSocketAddress("127.0.0.1", 0), group, 1024, JsonHttpTest::handle);
        server.start();
        client =
                new JsonHttpClient(
                        new InetSocketAddress("127.0.0.1", server.port()), group, TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() {
        client.stop();
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static CompletableFuture<HttpReply> handle(HttpCall call) {
        return switch (call.path()) {
            case "/echo" ->
                    CompletableFuture.completedFuture(
                            HttpReply.text(200, "text/plain", call.body()));
            case "/silent" -> new CompletableFuture<>();
            case "/lines" ->
                    CompletableFuture.completedFuture(
                            HttpReply.lines(
                                    sink -> {
                                        sink.send("one");
                                        sink.send("two");
                                        sink.close();
                                    }));
            default -> throw new QuetzalscaleException(ErrorKind.RESOURCE_UNKNOWN, "no such path");
        };
    }

    /**
     * Guards against an outdated request that a process writes after a pause: its timeout passed
     * while it waited for the event loop.
     */
    @Test
    void sendsNothingOnceTheTimeoutHasPassed() {
        EventLoopGroup single = EventLoops.create(1, "paused");
        JsonHttpClient paused =
                new JsonHttpClient(
                        new InetSocketAddress("127.0.0.1", server.port()), single, TIMEOUT_MILLIS);
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        single.next()
                .execute(
                        () -> {
                            paused.send(
                                            HttpCall.of(HttpMethod.POST, "/echo", new byte[1]),
                                            SHORT_TIMEOUT_MILLIS)
                                    .whenComplete(
                                            (value, failure) ->
                                                    reply.completeExceptionally(failure));
                            LockSupport.parkNanos(
                                    TimeUnit.MILLISECONDS.toNanos(2 * SHORT_TIMEOUT_MILLIS));
                        });

        Throwable failure = catchThrowable(() -> reply.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertThat(failure.getCause()).isInstanceOf(HttpCallException.class);
        assertThat(((HttpCallException) failure.getCause()).maybeSent()).isFalse();
        single.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private HttpReply call(String path, byte[] body) {
        return client.send(HttpCall.of(HttpMethod.POST, path, body)).toCompletableFuture().join();
    }

    @Nested
    class Calls {
        @Test
        void matchesReplyToCallOnAReusedConnection() {
            for (int i = 0; i < 20; i++) {
                byte[] body = ("body " + i).getBytes();
                assertThat(call("/echo", body).body()).isEqualTo(body);
            }
        }

        @Test
        void returnsTheKindAndRunStateOfAnError() {
            HttpReply reply = call("/nowhere", new byte[0]);
            assertThat(reply.status()).isEqualTo(404);
            assertThat(reply.headers()).containsEntry("quetzalscale-run", "none");
            assertThat(new String(reply.body())).contains("resource_unknown");
        }

        @Test
        void rejectsABodyOverTheLimit() {
            assertThat(call("/echo", new byte[2048]).status()).isEqualTo(413);
        }

        @Test
        void failsAsMaybeSentWhenTheServerDoesNotRespond() {
            JsonHttpClient shortTimeoutClient =
                    new JsonHttpClient(
                            new InetSocketAddress("127.0.0.1", server.port()),
                            group,
                            SHORT_TIMEOUT_MILLIS);
            HttpCall silent = HttpCall.of(HttpMethod.POST, "/silent", new byte[0]);
            Throwable failure =
                    catchThrowable(
                            () -> shortTimeoutClient.send(silent).toCompletableFuture().join());
            assertThat(failure).hasCauseInstanceOf(HttpCallException.class);
            assertThat(((HttpCallException) failure.getCause()).maybeSent()).isTrue();
            assertThat(call("/echo", new byte[] {1}).status()).isEqualTo(200);
        }
    }

    @Nested
    class Streams {
        @Test
        void deliversLinesInOrderAndEnds() throws Exception {
            BlockingQueue<String> lines = new LinkedBlockingQueue<>();
            HttpCall call = new HttpCall(HttpMethod.GET, "/lines", Map.of(), Map.of(), new byte[0]);
            client.stream(call, TIMEOUT_MILLIS, lines::add)
                    .ended()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);
            assertThat(lines).containsExactly("one", "two");
        }

        @Test
        void failsWithTheErrorReplyOfAStreamRequest() {
            HttpCall call = HttpCall.of(HttpMethod.GET, "/nowhere", new byte[0]);
            var ended = client.stream(call, TIMEOUT_MILLIS, line -> {}).ended();
            Throwable failure = catchThrowable(() -> ended.toCompletableFuture().join());
            HttpReply reply = ((HttpCallException) failure.getCause()).answer().orElseThrow();
            assertThat(reply.status()).isEqualTo(404);
            assertThat(new String(reply.body())).contains("resource_unknown");
        }
    }
}
