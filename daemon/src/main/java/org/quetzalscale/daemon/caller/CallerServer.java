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

/** The HTTP/1.1 server for callers. */
public final class CallerServer {
    // With the read buffer this bounds what a slow reader makes the process hold.
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
     * @param observer hears of each request that ended
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

    /** Listens. */
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
     * Begins the graceful stop: answers announce the end of their connection at once, and new
     * connections are no longer taken after the delay.
     *
     * @return completes with the number of requests that still run, at the latest at the bound; 0
     *     if all ended
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

    /** Stops listening and closes all connections, also those with running requests. */
    public void stop() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
        drained.complete(running.get());
    }

    private void stopAccepting(long boundMillis) {
        // The event loop closes the socket some time after the channel. A caller whose idle
        // connection ended before that could open a new one.
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
        int left = running.get();
        if (left == 0 || context.time().nowMillis() >= boundMillis) {
            drained.complete(left);
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
