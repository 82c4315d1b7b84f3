package org.quetzalscale.standin.soak;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.TcpListeners;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/**
 * An HTTP server on a free loopback port that knows the caller of each connection, and that can
 * leave a connection silent or reset it.
 */
final class WireServer {
    /** Handles a call of a node; runs on the connection's event loop and must not block. */
    @FunctionalInterface
    interface Handler {
        CompletionStage<HttpReply> handle(String caller, HttpCall call);
    }

    /** Tells the name of the process that a connection comes from. */
    @FunctionalInterface
    interface Callers {
        CompletionStage<String> callerOf(int remotePort, int localPort);
    }

    /** The connection delivers nothing from now on. */
    static final HttpReply SILENCE = HttpReply.json(200, "");

    /** The connection is reset. */
    static final HttpReply RESET = HttpReply.json(200, "");

    private static final int MAX_BODY_BYTES = 2 << 20;

    private final Callers callers;
    private final Handler handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;

    WireServer(EventLoopGroup group, Callers callers, Handler handler) {
        this.callers = callers;
        this.handler = handler;
        this.listener =
                TcpListeners.listen(
                        group, new InetSocketAddress("127.0.0.1", 0), false, this::initialize);
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    int port() {
        return TcpListeners.port(listener);
    }

    /** Resets all connections, as the end of the serving process does. */
    void resetConnections() {
        connections.forEach(WireServer::reset);
    }

    void stop() {
        listener.close();
        connections.close();
    }

    private void initialize(SocketChannel channel) {
        connections.add(channel);
        Connection connection = new Connection();
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(connection);
        callers.callerOf(channel.remoteAddress().getPort(), channel.localAddress().getPort())
                .thenAccept(
                        caller ->
                                channel.eventLoop()
                                        .execute(() -> connection.identified(channel, caller)));
    }

    private static void reset(Channel channel) {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isOpen()) {
                                ((SocketChannel) channel).config().setSoLinger(0);
                                channel.close();
                            }
                        });
    }

    /** Serves the calls of one connection, one after the other. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String caller = "";
        private boolean silent;

        void identified(Channel channel, String name) {
            caller = name;
            channel.config().setAutoRead(true);
            channel.read();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (silent) {
                return;
            }
            handler.handle(caller, toCall(request))
                    .whenComplete(
                            (reply, failure) ->
                                    context.executor()
                                            .execute(() -> answer(context, reply, failure)));
        }

        private void answer(ChannelHandlerContext context, HttpReply reply, Throwable failure) {
            if (failure != null || reply == RESET) {
                reset(context.channel());
            } else if (reply == SILENCE) {
                silent = true;
            } else if (!silent) {
                context.writeAndFlush(toResponse(reply));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static HttpCall toCall(FullHttpRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        header ->
                                headers.putIfAbsent(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue()));
        return new HttpCall(
                request.method(),
                decoder.path(),
                decoder.parameters(),
                headers,
                ByteBufUtil.getBytes(request.content()));
    }

    private static FullHttpResponse toResponse(HttpReply reply) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(reply.status()),
                        Unpooled.wrappedBuffer(reply.body()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        return response;
    }

    /** A caller that is known beforehand. */
    static Callers known(String caller) {
        return (remote, local) -> CompletableFuture.completedFuture(caller);
    }
}
