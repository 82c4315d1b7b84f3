package org.quetzalscale.daemon.caller;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.quetzalscale.core.config.ConfigSource;
import org.quetzalscale.core.queue.AdmissionController;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.target.TargetClient;
import org.quetzalscale.net.TcpListeners;

/** The HTTP/1.1 server that accepts requests from callers. */
public final class CallerServer {
    // Together with the read buffer, this limits the memory used by a caller that reads slowly.
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
            new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final int DRAIN_POLL_MILLIS = 20;
    private static final int LISTENER_CLOSE_MILLIS = 10;

    private final InetSocketAddress bindAddress;
    private final EventLoopGroup group;
    private final CallerLimits limits;
    private final CallerContext context;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final CompletableFuture<Integer> drained = new CompletableFuture<>();
    private volatile boolean draining;
    private Channel listener;

    /**
     * Creates a server that does not listen yet and reports no metrics.
     *
     * @param group event loops, owned by the caller
     */
    public CallerServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            ConfigSource config,
            AdmissionController admission,
            IntentLog intents,
            TimeSource time,
            TargetClient targets,
            CallerLimits limits) {
        this(
                bindAddress,
                group,
                config,
                admission,
                intents,
                time,
                targets,
                limits,
                request -> {},
                null);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param group event loops, owned by the caller
     * @param observer notified of each request that ended
     * @param teamHandler answers the calls of teams under {@code /v1/}, or null for none
     */
    public CallerServer(
            InetSocketAddress bindAddress,
            EventLoopGroup group,
            ConfigSource config,
            AdmissionController admission,
            IntentLog intents,
            TimeSource time,
            TargetClient targets,
            CallerLimits limits,
            RequestObserver observer,
            TeamHandler teamHandler) {
        this.bindAddress = bindAddress;
        this.group = group;
        this.limits = limits;
        this.context =
                new CallerContext(
                        config,
                        admission,
                        intents,
                        time,
                        targets,
                        limits,
                        observer,
                        teamHandler,
                        new BufferBudget(limits.bufferBudgetBytes()),
                        running,
                        () -> draining);
    }

    /** Binds the address and accepts connections. */
    public void start() {
        listener = TcpListeners.listen(group, bindAddress, false, this::initialize);
    }

    /** The port that it listens on. */
    public int port() {
        return TcpListeners.port(listener);
    }

    /** Requests that run now, including those whose outcome is being recorded. */
    public int runningRequests() {
        return running.get();
    }

    /**
     * Begins a graceful shutdown: answers carry {@code Connection: close} at once, and new
     * connections are accepted only until the drain delay has passed.
     *
     * @return completes with 0 when all requests have ended, or at the time limit with the number
     *     of requests that still run
     */
    public synchronized CompletionStage<Integer> beginDrain() {
        if (!draining) {
            draining = true;
            long boundMillis = context.time().nowMillis() + limits.drainBoundMillis();
            group.next()
                    .schedule(
                            () -> stopAccepting(boundMillis),
                            Math.min(limits.drainDelayMillis(), limits.drainBoundMillis()),
                            TimeUnit.MILLISECONDS);
        }
        return drained;
    }

    /** Stops listening and closes all connections, including those with running requests. */
    public void stop() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
        drained.complete(running.get());
    }

    private void stopAccepting(long boundMillis) {
        // The event loop closes the socket shortly after the channel. Idle connections are closed
        // later, because their callers could reconnect while the socket still listens.
        listener.close()
                .addListener(
                        closed ->
                                group.next()
                                        .schedule(
                                                () -> closeIdle(boundMillis),
                                                LISTENER_CLOSE_MILLIS,
                                                TimeUnit.MILLISECONDS));
    }

    private void closeIdle(long boundMillis) {
        connections.forEach(
                channel -> channel.pipeline().fireUserEventTriggered(DrainEvent.CLOSE_IF_IDLE));
        awaitEnd(boundMillis);
    }

    private void awaitEnd(long boundMillis) {
        int remaining = running.get();
        if (remaining == 0 || context.time().nowMillis() >= boundMillis) {
            drained.complete(remaining);
            return;
        }
        group.next()
                .schedule(() -> awaitEnd(boundMillis), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void initialize(SocketChannel channel) {
        channel.config().setWriteBufferWaterMark(WRITE_BUFFER_BYTES);
        connections.add(channel);
        boolean full = connectionCount.incrementAndGet() > limits.maxConnections();
        channel.closeFuture().addListener(closed -> connectionCount.decrementAndGet());
        CallerRequestDecoder decoder = new CallerRequestDecoder(limits.maxHeaderBytes());
        CallerResponseEncoder encoder = new CallerResponseEncoder();
        CallerConnection connection = new CallerConnection(context, decoder, encoder, full);
        channel.pipeline()
                .addLast(new ArrivalHandler(connection::bytesArrived))
                .addLast(decoder)
                .addLast(encoder)
                .addLast(new FlowControlHandler())
                .addLast(connection);
    }
}
