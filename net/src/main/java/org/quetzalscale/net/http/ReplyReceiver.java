package org.quetzalscale.net.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Completes the request in flight on one client connection. */
final class ReplyReceiver extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Consumer<Channel> onReusable;
    private final Runnable onTimeout;
    private CompletableFuture<HttpReply> pending;
    private ScheduledFuture<?> timeout;

    /**
     * Creates the handler of one connection.
     *
     * @param onReusable takes the connection after a complete response
     * @param onTimeout runs when a request gets no response within its timeout
     */
    ReplyReceiver(Consumer<Channel> onReusable, Runnable onTimeout) {
        this.onReusable = onReusable;
        this.onTimeout = onTimeout;
    }

    /** Expects a response; runs on the connection's event loop, before the request is written. */
    void expect(Channel channel, CompletableFuture<HttpReply> reply, int timeoutMillis) {
        if (!channel.isActive()) {
            reply.completeExceptionally(
                    HttpCallException.notSent(new java.nio.channels.ClosedChannelException()));
            return;
        }
        pending = reply;
        timeout =
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    fail("no response within " + timeoutMillis + " ms");
                                    channel.close();
                                    onTimeout.run();
                                },
                                timeoutMillis,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        CompletableFuture<HttpReply> reply = pending;
        pending = null;
        if (reply == null) {
            context.close();
            return;
        }
        timeout.cancel(false);
        HttpReply value = toReply(response);
        if (HttpUtil.isKeepAlive(response)) {
            onReusable.accept(context.channel());
        } else {
            context.close();
        }
        reply.complete(value);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed before the response");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection failed: " + cause);
        context.close();
    }

    private void fail(String message) {
        CompletableFuture<HttpReply> reply = pending;
        pending = null;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (reply != null) {
            reply.completeExceptionally(HttpCallException.maybeSent(message));
        }
    }

    private static HttpReply toReply(FullHttpResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.headers()
                .forEach(
                        h ->
                                headers.putIfAbsent(
                                        h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
        return new HttpReply(
                response.status().code(),
                headers.getOrDefault("content-type", ""),
                headers,
                ByteBufUtil.getBytes(response.content()),
                null);
    }
}
