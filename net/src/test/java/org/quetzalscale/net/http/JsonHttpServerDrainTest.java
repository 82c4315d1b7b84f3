package org.quetzalscale.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalscale.net.EventLoops;

/** Requests around the shutdown of a server, sent on plain sockets. */
class JsonHttpServerDrainTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    /** With a small receive buffer, much of a response waits in the server's send buffer. */
    private static final int RECEIVE_BUFFER_BYTES = 1 << 16;

    private static final int RESPONSE_BYTES = 1 << 19;

    /** Head of a request whose body has four bytes. */
    private static final String POST_HEAD =
            "POST /post HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\n";

    private final EventLoopGroup group = EventLoops.create(1, "test");
    private final BlockingQueue<ReceivedCall> received = new LinkedBlockingQueue<>();
    private JsonHttpServer server;
    private Socket client;

    /** A request that reached the handler, and its pending reply. */
    private record ReceivedCall(HttpCall call, CompletableFuture<HttpReply> reply) {
        void answer() {
            reply.complete(HttpReply.text(200, "text/plain", call.path().getBytes()));
        }
    }

    @BeforeEach
    void start() throws IOException {
        server = new JsonHttpServer(loopback(0), group, 1024, this::handle);
        server.start();
        client = new Socket();
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(loopback(server.port()));
        client.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        ReceivedCall receivedCall = new ReceivedCall(call, new CompletableFuture<>());
        received.add(receivedCall);
        return receivedCall.reply();
    }

    /** Guards against the loss of a pipelined request that waits behind one in progress. */
    @Test
    void answersPipelinedRequestsThatWereReadBeforeItCloses() throws Exception {
        send(get("/first") + get("/second"));
        ReceivedCall first = nextCall();
        server.drain();
        first.answer();
        nextCall().answer();

        assertThat(readResponse()).endsWith("/first").doesNotContain("connection: close");
        assertThat(readResponse()).endsWith("/second").contains("connection: close");
        assertThat(client.getInputStream().read()).isEqualTo(-1);
    }

    /**
     * Guards against the loss of a response on a slow link: closing a socket with unread bytes
     * resets the connection, which discards what has not been delivered.
     */
    @Test
    void deliversTheResponseIfTheClientSentMoreBytes() throws Exception {
        send(get("/first"));
        ReceivedCall first = nextCall();
        server.drain();
        send(get("/unread"));
        byte[] body = new byte[RESPONSE_BYTES];
        first.reply().complete(HttpReply.text(200, "text/plain", body));

        assertThat(readHead()).contains("connection: close");
        assertThat(client.getInputStream().readNBytes(body.length)).hasSize(body.length);
        assertThat(client.getInputStream().read()).isEqualTo(-1);
        assertThat(received).isEmpty();
    }

    /** Guards against a request that is read whole after the response that ends the connection. */
    @Test
    void answersARequestThatIsBeingReadBehindTheOneInProgress() throws Exception {
        send(get("/first") + POST_HEAD + "12");
        ReceivedCall first = nextCall();
        server.drain();
        first.answer();

        assertThat(readResponse()).endsWith("/first").doesNotContain("connection: close");
        send("34");
        nextCall().answer();
        assertThat(readResponse()).endsWith("/post").contains("connection: close");
    }

    /** Guards against the close of a connection as idle while its client sends a request. */
    @Test
    void answersARequestThatIsBeingReadWhenIdleConnectionsAreClosed() throws Exception {
        send(get("/first") + POST_HEAD + "12");
        nextCall().answer();
        readResponse();
        server.drain();
        server.closeIdle();
        runPendingTasks();
        send("34");

        nextCall().answer();
        assertThat(readResponse()).endsWith("/post").contains("connection: close");
    }

    @Test
    void closesIdleConnections() throws Exception {
        send(get("/first"));
        nextCall().answer();
        readResponse();
        server.closeIdle();

        assertThat(client.getInputStream().read()).isEqualTo(-1);
        awaitDrained(server);
    }

    /** Waits until the event loop has run the tasks that are queued now. */
    private void runPendingTasks() throws Exception {
        group.next().submit(() -> {}).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a shutdown that never ends because a client does not close its end. */
    @Test
    void closesTheConnectionSomeTimeAfterTheLastResponse() throws Exception {
        send(get("/first"));
        ReceivedCall first = nextCall();
        server.drain();
        server.closeIdle();
        first.answer();

        readResponse();
        assertThat(client.getInputStream().read()).isEqualTo(-1);
        awaitDrained(server);
    }

    /**
     * Guards against a process that ends while a slow event loop still accepts connections and
     * reads their requests.
     */
    @Test
    void isNotDrainedBeforeTheEventLoopHasStoppedListening() throws Exception {
        JsonHttpServer unused = new JsonHttpServer(loopback(0), group, 1024, this::handle);
        unused.start();
        CountDownLatch release = new CountDownLatch(1);
        group.next().execute(() -> await(release));
        unused.drain();
        unused.closeIdle();
        boolean drainedBefore = unused.isDrained();
        release.countDown();

        assertThat(drainedBefore).isFalse();
        awaitDrained(unused);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitDrained(JsonHttpServer server) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!server.isDrained() && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(server.isDrained()).isTrue();
    }

    private ReceivedCall nextCall() throws InterruptedException {
        ReceivedCall call = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(call).as("request at the handler").isNotNull();
        return call;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
    }

    private void send(String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads one response, whose body is its request's path. */
    private String readResponse() throws IOException {
        String head = readHead();
        int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
        return head + new String(client.getInputStream().readNBytes(length));
    }

    private String readHead() throws IOException {
        InputStream input = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            assertThat(next).as("byte after: " + head).isNotNegative();
            head.append((char) next);
        }
        return head.toString();
    }
}
