package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.flow.FlowControlHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.http.HttpReply;

class CallerConnectionTest {
    /** Simulates a socket that accepts no bytes, because the caller does not read. */
    private static final class FullSocket extends ChannelOutboundHandlerAdapter {
        private final Deque<Runnable> pendingWrites = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            pendingWrites.add(() -> context.writeAndFlush(message, promise));
        }
    }

    // If a drain ended before the answer is written, the shutdown would truncate the answer.
    @Test
    void aRequestRunsUntilTheSocketTookItsWholeAnswer() {
        AtomicInteger running = new AtomicInteger();
        CallerContext context =
                new CallerContext(
                        new CallerFixture.FakeConfig(),
                        new FakeAdmissionController(),
                        new FakeIntentLog(),
                        TimeSource.system(),
                        null,
                        CallerFixture.LIMITS,
                        request -> {},
                        (team, call) ->
                                CompletableFuture.completedFuture(HttpReply.json(200, "done")),
                        new BufferBudget(1 << 20),
                        running,
                        () -> false);
        CallerRequestDecoder decoder = new CallerRequestDecoder(1024);
        CallerResponseEncoder encoder = new CallerResponseEncoder();
        FullSocket socket = new FullSocket();
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.config().setAutoRead(false);
        channel.pipeline()
                .addLast(socket, decoder, encoder, new FlowControlHandler())
                .addLast(new CallerConnection(context, decoder, encoder, false));
        channel.pipeline().fireChannelActive();
        String request = CallerFixture.get("/v1/jobs/7");
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        channel.runPendingTasks();
        assertThat(running).hasValue(1);
        assertThat(socket.pendingWrites).isNotEmpty();
        socket.pendingWrites.forEach(Runnable::run);
        assertThat(running).hasValue(0);
        channel.finishAndReleaseAll();
    }
}
