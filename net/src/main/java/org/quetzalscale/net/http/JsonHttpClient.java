package org.quetzalscale.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 client for small messages to one address, with a pool of persistent connections.
 *
 * <p>Each request has a timeout. When it expires, the connection is closed, so that an unresponsive
 * connection is not used again. The idle connections are closed too, because the cause, such as
 * connection state lost by a device on the path, may affect connections opened at the same time.
 */
public final class JsonHttpClient {
    private static final int MAX_REPLY_BYTES = 64 << 20;

    private final InetSocketAddress address;
    private final EventLoopGroup group;
    private final int timeoutMillis;
    private final Deque<Channel> idle = new ConcurrentLinkedDeque<>();

    /**
     * Creates a client; connections are opened on demand.
     *
     * @param group event loops, owned by the caller
     * @param timeoutMillis timeout of each request
     */
    public JsonHttpClient(InetSocketAddress address, EventLoopGroup group, int timeoutMillis) {
        this.address = address;
        this.group = group;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Sends a request. The stage fails with {@link HttpCallException}, which tells whether a byte
     * of the request may have reached the server. The timeout covers connecting and the response
     * together.
     */
    public CompletionStage<HttpReply> send(HttpCall call) {
        return send(call, timeoutMillis);
    }

    /**
     * Sends a request as {@link #send(HttpCall)} does, with its own timeout.
     *
     * @param limitMillis timeout of connecting and the response together; at most the client's
     *     timeout, which limits connecting
     */
    public CompletionStage<HttpReply> send(HttpCall call, int limitMillis) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        long startNanos = System.nanoTime();
        Channel reused = pollIdle();
        if (reused != null) {
            sendOn(reused, call, reply, startNanos, limitMillis);
            return reply;
        }
        connect(false)
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                reply.completeExceptionally(
                                        HttpCallException.notSent(connected.cause()));
                                return;
                            }
                            sendOn(
                                    ((io.netty.channel.ChannelFuture) connected).channel(),
                                    call,
                                    reply,
                                    startNanos,
                                    limitMillis);
                        });
        return reply;
    }

    /**
     * Opens a stream of lines on a dedicated connection.
     *
     * @param idleMillis the stream fails when it receives no data for this long
     * @param onLine called for each line, on the event loop
     * @return a handle whose stage completes when the stream ends; its failure is an {@link
     *     HttpCallException} if the server answered with an error or the connection broke
     */
    public LineStream stream(HttpCall call, int idleMillis, Consumer<String> onLine) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        LineStream stream = new LineStream(ended);
        connect(true)
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                ended.completeExceptionally(
                                        HttpCallException.notSent(connected.cause()));
                                return;
                            }
                            Channel channel =
                                    ((io.netty.channel.ChannelFuture) connected).channel();
                            stream.attach(channel);
                            LineReceiver.install(channel, idleMillis, onLine, ended);
                            channel.writeAndFlush(encode(call));
                        });
        return stream;
    }

    /** Closes the idle connections. */
    public void stop() {
        for (Channel channel = idle.poll(); channel != null; channel = idle.poll()) {
            channel.close();
        }
    }

    private Channel pollIdle() {
        for (Channel channel = idle.poll(); channel != null; channel = idle.poll()) {
            if (channel.isActive()) {
                return channel;
            }
        }
        return null;
    }

    private io.netty.channel.ChannelFuture connect(boolean streaming) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline().addLast(new HttpClientCodec());
                                if (!streaming) {
                                    channel.pipeline()
                                            .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
                                            .addLast(
                                                    new ReplyReceiver(
                                                            idle::push, JsonHttpClient.this::stop));
                                }
                            }
                        })
                .connect(address);
    }

    private static int remainingMillis(long startNanos, int limitMillis) {
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000L;
        return (int) Math.max(0, limitMillis - elapsedMillis);
    }

    /**
     * Writes the request on a connection, unless its timeout has passed. The process may have been
     * paused since the caller decided to send it, and the request may be outdated.
     */
    private void sendOn(
            Channel channel,
            HttpCall call,
            CompletableFuture<HttpReply> reply,
            long startNanos,
            int limitMillis) {
        channel.eventLoop()
                .execute(
                        () -> {
                            int remaining = remainingMillis(startNanos, limitMillis);
                            if (remaining == 0) {
                                idle.push(channel);
                                reply.completeExceptionally(
                                        HttpCallException.notSent(
                                                new TimeoutException("the timeout has passed")));
                                return;
                            }
                            channel.pipeline()
                                    .get(ReplyReceiver.class)
                                    .expect(channel, reply, remaining);
                            channel.writeAndFlush(encode(call));
                        });
    }

    private FullHttpRequest encode(HttpCall call) {
        QueryStringEncoder uri = new QueryStringEncoder(call.path());
        call.query().forEach((name, values) -> values.forEach(v -> uri.addParam(name, v)));
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        call.method(),
                        uri.toString(),
                        Unpooled.wrappedBuffer(call.body()));
        call.headers().forEach((name, value) -> request.headers().set(name, value));
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setContentLength(request, call.body().length);
        return request;
    }
}
