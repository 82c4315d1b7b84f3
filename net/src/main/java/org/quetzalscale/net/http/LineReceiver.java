package org.quetzalscale.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Splits a streamed HTTP response into lines. */
final class LineReceiver extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final int STATUS_OK = 200;

    private final Consumer<String> onLine;
    private final CompletableFuture<Void> ended;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int status;

    private LineReceiver(Consumer<String> onLine, CompletableFuture<Void> ended) {
        this.onLine = onLine;
        this.ended = ended;
    }

    static void install(
            Channel channel,
            int idleMillis,
            Consumer<String> onLine,
            CompletableFuture<Void> ended) {
        channel.pipeline()
                .addFirst(new ReadTimeoutHandler(idleMillis, TimeUnit.MILLISECONDS))
                .addLast(new LineReceiver(onLine, ended));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpResponse response) {
            status = response.status().code();
        }
        if (message instanceof HttpContent content) {
            content.content().forEachByte(this::appendByte);
        }
        if (message instanceof LastHttpContent) {
            finish();
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ended.completeExceptionally(HttpCallException.maybeSent("stream closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ended.completeExceptionally(HttpCallException.maybeSent("stream failed: " + cause));
        context.close();
    }

    private boolean appendByte(byte value) {
        if (value != '\n') {
            partial.write(value);
            if (partial.size() > MAX_LINE_BYTES) {
                throw new IllegalStateException("line longer than " + MAX_LINE_BYTES + " bytes");
            }
            return true;
        }
        if (status == STATUS_OK) {
            onLine.accept(partial.toString(StandardCharsets.UTF_8));
            partial.reset();
        }
        return true;
    }

    private void finish() {
        if (status == STATUS_OK) {
            ended.complete(null);
            return;
        }
        ended.completeExceptionally(
                HttpCallException.answered(HttpReply.text(status, "", partial.toByteArray())));
    }
}
