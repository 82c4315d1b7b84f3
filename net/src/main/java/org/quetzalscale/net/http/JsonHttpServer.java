package org.quetzalscale.net.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.net.TcpListeners;

/** An HTTP server for small messages, for operators, metrics and the platform stand-in. */
public final class JsonHttpServer {
    private static final int READ_TIMEOUT_SECONDS = 120;

    private final InetSocketAddress bindAddress;
    private final EventLoopGroup group;
    private final int maxBodyBytes;
    private final HttpHandler handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;
    private volatile boolean draining;
    private volatile boolean idleClosed;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group event loops, owned by the caller
     * @param maxBodyBytes largest request body; a larger one gets status 413
     */
    public JsonHttpServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            int maxBodyBytes,
            HttpHandler handler) {
        this.bindAddress = bindAddress;
        this.group = group;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
    }

    /** Starts to listen. */
    public void start() {
        listener = TcpListeners.listen(group, bindAddress, false, this::initialize);
    }

    /** The port that the server listens on. */
    public int port() {
        return TcpListeners.port(listener);
    }

    /** Makes each connection close after the responses to the requests that it has read. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops listening, and closes the connections without a request that is being received, waiting
     * or in progress.
     */
    public void closeIdle() {
        listener.close().addListener(closed -> closeIdleConnections());
    }

    /** Runs on each event loop after the setup of the connections that it has accepted. */
    private void closeIdleConnections() {
        List<CompletableFuture<Void>> tasks = new ArrayList<>();
        for (EventExecutor loop : group) {
            tasks.add(CompletableFuture.runAsync(() -> closeIdleConnections(loop), loop));
        }
        CompletableFuture.allOf(tasks.toArray(CompletableFuture[]::new))
                .thenRun(() -> idleClosed = true);
    }

    private void closeIdleConnections(EventExecutor loop) {
        for (Channel connection : connections) {
            if (connection.eventLoop() == loop
                    && connection.pipeline().get(HttpServerConnection.class).isIdle()) {
                connection.close();
            }
        }
    }

    /**
     * Whether {@link #closeIdle} has taken effect and all connections have ended, so that no
     * request can be in progress.
     */
    public boolean isDrained() {
        return idleClosed && connections.isEmpty();
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    private void initialize(SocketChannel channel) {
        connections.add(channel);
        RequestAggregator aggregator = new RequestAggregator(maxBodyBytes);
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(aggregator)
                .addLast(
                        new HttpServerConnection(handler, aggregator::isReceiving, () -> draining));
    }
}
